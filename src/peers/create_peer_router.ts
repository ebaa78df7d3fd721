import type {PeerCalls} from './peer_calls.js';
import type {PeerMessage} from '../core/peers/types.js';
import {initTRPC} from '@trpc/server';
import {makeId, type NodeId, type OperationId} from '../core/ids/index.js';
import {parsePeerMessage} from './parse_peer_message.js';
import {z} from 'zod';

interface PeerContext {
  /** Aborts when the caller's connection closes. */
  readonly gone: AbortSignal;
}

const MAX_MESSAGES = 4096;
const exchangeInput = z.object({
  from: z.string(),
  messages: z.array(z.unknown()).max(MAX_MESSAGES),
});
const askInput = z.object({
  from: z.string(),
  callId: z.string(),
  message: z.unknown(),
});

/** Creates the tRPC router between nodes. Unknown and malformed messages are skipped. */
// The return type is inferred, since the types of the client derive from it.
export function createPeerRouter(calls: PeerCalls) {
  const trpc = initTRPC.context<PeerContext>().create();
  return trpc.router({
    exchange: trpc.procedure.input(exchangeInput).mutation(({input}) => {
      const messages = input.messages
        .map(parsePeerMessage)
        .filter((message): message is PeerMessage => message !== undefined);
      calls.exchange(makeId<NodeId>(input.from), messages);
      return messages.length;
    }),
    ask: trpc.procedure.input(askInput).mutation(async ({input, ctx}) => {
      const message = parsePeerMessage(input.message);
      if (!message) return null;
      const from = makeId<NodeId>(input.from);
      const callId = makeId<OperationId>(input.callId);
      return (await calls.ask(from, callId, message, ctx.gone)) ?? null;
    }),
  });
}
