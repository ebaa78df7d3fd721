import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import type {AttemptId} from '../../../src/core/ids/index.js';
import type {ServingContext} from '../../../src/serving/types.js';
import type {ServingEvent} from '../../../src/core/serving/types.js';
import type {Upstream} from '../../../src/serving/upstream.js';
import {BufferBudget} from '../../../src/serving/buffer_budget.js';
import {CallerCall} from '../../../src/serving/caller_call.js';
import {RawEngine} from '../../support/raw_engine.js';
import {CatchUp} from '../../../src/serving/catch_up.js';
import {RunningAttempt} from '../../../src/serving/running_attempt.js';
import {makeId} from '../../../src/core/ids/index.js';
import {waitFor} from '../../support/wait_for.js';

const BUDGET = {
  itemBytes: 1e6,
  totalBytes: 1e6,
  smallBytes: 1e6,
  reserveBytes: 1e6,
};
const EVENT_COUNT = 4;
/** Longer than bytes take over the loopback. */
const SETTLE_MS = 60;

const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const END = '0\r\n\r\n';

/** The response to a caller, which records what is sent. */
class CallerResponse {
  headersSent = false;
  headCount = 0;
  endCount = 0;
  status = 0;
  body = '';
  readonly socket = null;
  readonly useChunkedEncodingByDefault = true;

  writeHead(status: number): void {
    this.headersSent = true;
    this.headCount += 1;
    this.status = status;
  }

  write(bytes: Buffer): boolean {
    this.body += bytes.toString();
    return true;
  }

  end(bytes?: Buffer): void {
    this.endCount += 1;
    this.body += bytes?.toString() ?? '';
  }
}

describe('two attempts of one request that run at once', () => {
  const engines: RawEngine[] = [];
  const attempts: RunningAttempt[] = [];
  afterEach(() => {
    for (const attempt of attempts.splice(0)) attempt.cancel();
    for (const engine of engines.splice(0)) engine.close();
  });

  /** Starts attempts without a reducer, so that nothing cancels one when the other goes on. */
  function createCaller(isStream: boolean) {
    const response = new CallerResponse();
    const events: (ServingEvent & {attemptId?: AttemptId})[] = [];
    const clock = {nowMs: () => performance.now()};
    const context = {
      clock,
      catchUp: new CatchUp(clock),
      events: {dispatch: (one: ServingEvent) => void events.push(one)},
    } as unknown as ServingContext;
    const call = new CallerCall(
      'POST',
      '/streaming/x',
      {},
      Buffer.alloc(0),
      'c1',
      response as unknown as ServerResponse,
      () => false,
    );
    const start = async (name: string): Promise<Socket> => {
      let socket: Socket | undefined;
      const engine = new RawEngine(opened => (socket = opened));
      engines.push(engine);
      const upstream: Upstream = {
        attemptId: makeId<AttemptId>(name),
        address: await engine.listen(),
        isStream,
        isResumable: true,
        keepsErrors: true,
        createHeaders: () => ({}),
        handleConnect: () => {},
        checkHead: () => undefined,
        selectHeaders: () => ({}),
      };
      const attempt = new RunningAttempt(context, call, upstream, {
        bufferBudget: new BufferBudget(BUDGET),
        onEnd: () => {},
      });
      attempts.push(attempt);
      attempt.start();
      return waitFor('the request', () => socket);
    };
    const eventsOf = (name: string) =>
      events.filter(one => one.attemptId === name).map(one => one.type);
    return {response, call, start, eventsOf};
  }

  const settle = () => new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  const HEAD =
    'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';

  for (const winner of ['silent', 'next'] as const) {
    it(`write each event once, and only the first to go on ends the response: ${winner}`, async () => {
      const {response, call, start, eventsOf} = createCaller(true);
      const silent = await start('silent');
      silent.write(HEAD + chunk(event(1)));
      await waitFor('the first event', () => call.lastEventId === '1');
      const next = await start('next');
      const [first, second] =
        winner === 'silent' ? [silent, next] : [next, silent];
      const loser = winner === 'silent' ? 'next' : 'silent';
      next.write(HEAD);
      first.write(chunk(event(2)));
      await waitFor('the second event', () => call.lastEventId === '2');
      const before = eventsOf(loser);
      second.write(chunk(event(2)) + chunk(event(3)));
      await settle();
      for (let id = 3; id <= EVENT_COUNT; id++) first.write(chunk(event(id)));
      second.write(END);
      first.write(END);
      await waitFor('the end', () => response.endCount > 0);
      await settle();
      const all = Array.from({length: EVENT_COUNT}, (_, at) => event(at + 1));
      assert.equal(response.body, all.join(''));
      assert.deepEqual([response.headCount, response.endCount], [1, 1]);
      assert.deepEqual(eventsOf(loser), before);
      assert.equal(eventsOf(winner).at(-1), 'attemptEnded');
    });
  }

  it('let only the first of them end a stream without another event', async () => {
    const {response, call, start, eventsOf} = createCaller(true);
    const silent = await start('silent');
    silent.write(HEAD + chunk(event(1)));
    await waitFor('the first event', () => call.lastEventId === '1');
    const next = await start('next');
    next.write(HEAD + chunk(event(2)));
    await waitFor('the second event', () => call.lastEventId === '2');
    silent.write(END);
    await settle();
    assert.equal(response.endCount, 0);
    next.write(END);
    await waitFor('the end', () => response.endCount > 0);
    assert.equal(response.body, event(1) + event(2));
    assert.deepEqual(eventsOf('silent'), ['attemptProgress']);
  });

  it('answer a buffered request once', async () => {
    const {response, start, eventsOf} = createCaller(false);
    const answer = (socket: Socket, text: string) =>
      socket.write(
        `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`,
      );
    const silent = await start('silent');
    const next = await start('next');
    answer(next, 'next');
    await waitFor('the response', () => response.endCount > 0);
    answer(silent, 'silent');
    await settle();
    assert.deepEqual([response.body, response.endCount], ['next', 1]);
    assert.deepEqual(eventsOf('silent'), []);
  });

  it('keep no failure of one that was overtaken', async () => {
    const {call, start, eventsOf} = createCaller(true);
    const silent = await start('silent');
    const next = await start('next');
    next.write(HEAD + chunk(event(1)));
    await waitFor('the first event', () => call.lastEventId === '1');
    silent.write(
      'HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad',
    );
    await settle();
    assert.deepEqual(eventsOf('silent'), []);
    assert.deepEqual(eventsOf('next'), ['attemptProgress']);
  });
});
