import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import type {NodeContext} from '../../../src/runtime/types.js';
import type {NodeId, OperationId} from '../../../src/core/ids/index.js';
import type {PeerMessage} from '../../../src/core/peers/types.js';
import type {UndatedEvent} from '../../../src/core/events/types.js';
import {PeerClient, PeerServer} from '../../../src/peers/index.js';
import {makeId} from '../../../src/core/ids/index.js';

const PEER = makeId<NodeId>('b');
const PULL: PeerMessage = {type: 'config.pull', sinceRevision: 3};

/** A node's context whose events go to `onEvent`. */
function createContext(
  secret: string,
  onEvent: (event: UndatedEvent) => void,
): NodeContext {
  return {
    settings: {node: {nodeId: 'a'}, secrets: {peerSecret: secret}},
    events: {dispatch: onEvent},
    metrics: {count: () => {}},
  } as unknown as NodeContext;
}

describe('PeerClient and PeerServer', () => {
  const closers: (() => void)[] = [];
  afterEach(() => {
    for (const close of closers.splice(0)) close();
  });

  async function listen(onEvent: (event: UndatedEvent) => void) {
    const peerServer = new PeerServer(createContext('s', onEvent));
    const server: Server = createServer((request, response) =>
      peerServer.serve(request, response),
    );
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    closers.push(() => {
      peerServer.destroy();
      server.closeAllConnections();
      server.close();
    });
    const {port} = server.address() as AddressInfo;
    return {peerServer, address: `127.0.0.1:${port}`};
  }

  function connect(
    address: string,
    secret: string,
    onEvent: (event: UndatedEvent) => void = () => {},
  ): PeerClient {
    const client = new PeerClient(createContext(secret, onEvent));
    client.handle({type: 'setPeers', peers: [{nodeId: PEER, address}]});
    closers.push(() => client.destroy());
    return client;
  }

  function ask(client: PeerClient, timeoutMs: number): void {
    client.handle({
      type: 'peerAsk',
      area: 'config',
      to: PEER,
      callId: makeId<OperationId>('call-1'),
      timeoutMs,
      message: PULL,
    });
  }

  it('batches queued messages into one exchange', async () => {
    const event = await new Promise<UndatedEvent>(resolve => {
      void listen(resolve).then(({address}) => {
        const client = connect(address, 's');
        client.handle({type: 'peerSend', to: PEER, message: PULL});
        client.handle({type: 'peerSend', to: PEER, message: PULL});
        client.handle({
          type: 'peerSend',
          to: PEER,
          message: PULL,
          urgent: true,
        });
      });
    });
    const messages = [PULL, PULL, PULL];
    assert.deepEqual(event, {type: 'peerExchanged', from: 'a', messages});
  });

  it('skips messages of unknown type or shape, not the exchange', async () => {
    const event = await new Promise<UndatedEvent>(resolve => {
      void listen(resolve).then(({address}) => {
        const client = connect(address, 's');
        const unknown = {type: 'later.version'} as unknown as PeerMessage;
        const malformed = {type: 'config.pull'} as unknown as PeerMessage;
        client.handle({type: 'peerSend', to: PEER, message: unknown});
        client.handle({type: 'peerSend', to: PEER, message: malformed});
        client.handle({
          type: 'peerSend',
          to: PEER,
          message: PULL,
          urgent: true,
        });
      });
    });
    assert.deepEqual(event, {
      type: 'peerExchanged',
      from: 'a',
      messages: [PULL],
    });
  });

  it('returns the answer of a peer, and none when the peer does not respond in time', async () => {
    const answer: PeerMessage = {type: 'config.noHistory', revision: 9};
    let isSilent = false;
    const {peerServer, address} = await listen(event => {
      if (event.type !== 'peerAsked' || isSilent) return;
      const {callId} = event;
      peerServer.handle({type: 'peerAnswer', callId, message: answer});
    });
    const expected = {
      type: 'peerAnswered',
      area: 'config',
      from: 'b',
      callId: 'call-1',
    };
    const answered = await new Promise<UndatedEvent>(resolve =>
      ask(connect(address, 's', resolve), 5000),
    );
    assert.deepEqual(answered, {...expected, message: answer});
    isSilent = true;
    const unanswered = await new Promise<UndatedEvent>(resolve =>
      ask(connect(address, 's', resolve), 100),
    );
    assert.deepEqual(unanswered, expected);
  });

  it('refuses a peer without the shared secret', async () => {
    const seen: UndatedEvent[] = [];
    const {address} = await listen(event => seen.push(event));
    const answered = await new Promise<UndatedEvent>(resolve =>
      ask(connect(address, 'wrong', resolve), 5000),
    );
    assert.equal(
      answered.type === 'peerAnswered' && answered.message,
      undefined,
    );
    assert.deepEqual(seen, []);
  });
});
