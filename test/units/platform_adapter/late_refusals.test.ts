import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import type {RawResponder} from '../../support/raw_engine.js';
import {AdapterNode} from '../../support/adapter_node.js';

const RUN_MS = 40;

function refusal(attemptId: string | undefined): string {
  const id = attemptId === undefined ? '' : `X-Attempt-Id: ${attemptId}\r\n`;
  return `HTTP/1.1 503 Service Unavailable\r\n${id}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
}

function success(attemptId: string): string {
  return `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attemptId}\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\nid: 1\ndata: a\n\n`;
}

const attemptIdOf = (request: string) =>
  /x-attempt-id: (\S+)/i.exec(request)?.[1] ?? '';

/** Engines that refuse the first request, and write that refusal again on the same connection before they run the next one. */
class RepeatingEngines {
  readonly runs: string[] = [];
  private readonly refusedOn = new Map<Socket, string>();

  constructor(private readonly copyOf: (refused: string) => string) {}

  readonly answer: RawResponder = (socket, request) => {
    const attemptId = attemptIdOf(request);
    if (attemptId === 'first') {
      this.refusedOn.set(socket, attemptId);
      socket.write(refusal(attemptId));
      return;
    }
    const refused = this.refusedOn.get(socket);
    this.refusedOn.delete(socket);
    if (refused !== undefined) socket.write(this.copyOf(refused));
    this.runs.push(attemptId);
    setTimeout(() => {
      if (!socket.destroyed) socket.write(success(attemptId));
    }, RUN_MS);
  };
}

describe('a refusal that an engine writes once more on a kept connection', () => {
  let adapter: AdapterNode | undefined;
  afterEach(async () => {
    await adapter?.close();
    adapter = undefined;
  });

  for (const [what, copyOf] of [
    ['with its id', refusal],
    ['without an id', () => refusal(undefined)],
  ] as const) {
    it(`${what} does not make a request that runs look refused, or run twice`, async () => {
      const engines = new RepeatingEngines(copyOf);
      adapter = await AdapterNode.start([engines.answer, engines.answer]);
      adapter.writeConfig(2, {
        routes: ['safe', 'streaming'].map(type => ({
          name: type,
          host: 'desk.example',
          'path-prefix': `/${type}/`,
          type,
          'timeout-ms': 2000,
          'latency-goal-ms': 300,
          priority: 1,
          service: 'desk',
          'max-attempts': 2,
          anonymous: false,
          resumable: false,
        })),
      });
      const send = (attemptId: string) =>
        adapter!.call('streaming', {headers: {'x-attempt-id': attemptId}});
      const first = await send('first');
      assert.equal(first.status, 503);
      const second = await send('second');
      assert.notEqual(second.status, 503);
      assert.deepEqual(engines.runs, ['second']);
    });
  }

  it('does not announce anything for the request that follows it', async () => {
    const engines = new RepeatingEngines(refused =>
      refusal(refused).replace('\r\n\r\n', '\r\nServer-Leaving: 1\r\n\r\n'),
    );
    adapter = await AdapterNode.start([engines.answer]);
    const send = (attemptId: string) =>
      adapter!.call('streaming', {headers: {'x-attempt-id': attemptId}});
    await send('first');
    await send('second');
    assert.equal(adapter.node.state.announcements.leaving.size, 0);
  });
});
