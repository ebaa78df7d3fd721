import {createHash, timingSafeEqual} from 'node:crypto';
import type {Effect} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {NodeId, OperationId} from '../core/ids/index.js';
import type {PeerCalls} from './peer_calls.js';
import type {PeerMessage} from '../core/peers/types.js';
import {PEER_SECRET_HEADER} from './peer_secret_header.js';
import {createPeerRouter} from './create_peer_router.js';
import {createRefusal} from '../core/errors/index.js';
import {nodeHTTPRequestHandler} from '@trpc/server/adapters/node-http';

const PATH_PREFIX = '/trpc/';
const MAX_BODY_BYTES = 16 * 1024 * 1024;
const ANSWER_TIMEOUT_MS = 10_000;

/** Serves the tRPC procedures that peers call: `exchange` and `ask`. */
export class PeerServer implements EffectHandler, PeerCalls {
  readonly types = ['peerAnswer'] as const;
  private readonly router = createPeerRouter(this);
  private readonly secretDigest: Buffer;
  private readonly open = new Map<
    OperationId,
    (message?: PeerMessage) => void
  >();

  constructor(private readonly context: NodeContext) {
    this.secretDigest = digest(context.settings.secrets.peerSecret);
  }

  /** Answers one HTTP request whose path starts with `/trpc/`. */
  serve(request: IncomingMessage, response: ServerResponse): void {
    if (!this.isPeer(request)) {
      request.resume();
      refuse(response);
      return;
    }
    const {pathname} = new URL(request.url ?? '/', 'http://peer');
    const gone = new AbortController();
    response.on('close', () => gone.abort());
    void nodeHTTPRequestHandler({
      router: this.router,
      req: request,
      res: response,
      path: pathname.slice(PATH_PREFIX.length),
      maxBodySize: MAX_BODY_BYTES,
      createContext: () => ({gone: gone.signal}),
    });
  }

  exchange(from: NodeId, messages: readonly PeerMessage[]): void {
    this.context.events.dispatch({type: 'peerExchanged', from, messages});
  }

  ask(
    from: NodeId,
    callId: OperationId,
    message: PeerMessage,
    gone: AbortSignal,
  ): Promise<PeerMessage | undefined> {
    return new Promise(resolve => {
      const settle = (answer?: PeerMessage) => {
        clearTimeout(timer);
        this.open.delete(callId);
        resolve(answer);
      };
      const timer = setTimeout(settle, ANSWER_TIMEOUT_MS);
      gone.addEventListener('abort', () => settle(), {once: true});
      this.open.set(callId, settle);
      this.context.events.dispatch({type: 'peerAsked', from, callId, message});
    });
  }

  handle(effect: Effect): void {
    if (effect.type !== 'peerAnswer') return;
    this.open.get(effect.callId)?.(effect.message);
  }

  async close(): Promise<void> {
    this.destroy();
  }

  destroy(): void {
    for (const settle of [...this.open.values()]) settle();
  }

  private isPeer(request: IncomingMessage): boolean {
    const given = request.headers[PEER_SECRET_HEADER];
    if (typeof given !== 'string') return false;
    return timingSafeEqual(digest(given), this.secretDigest);
  }
}

function digest(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}

function refuse(response: ServerResponse): void {
  const {status, body} = createRefusal('PeerNotAuthenticated', 'not-run');
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify({error: body}));
}
