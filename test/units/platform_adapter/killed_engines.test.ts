import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {AdapterNode} from '../../support/adapter_node.js';
import {EngineProcess} from '../../support/engine_process.js';
import {waitFor} from '../../support/wait_for.js';

const EVENT_COUNT = 20;
const CALLER_COUNT = 8;
const ALL_EVENTS = Array.from(
  {length: EVENT_COUNT},
  (_, at) => `id: ${at + 1}\ndata: ${at + 1}\n\n`,
).join('');

type Answer = Awaited<ReturnType<AdapterNode['call']>>;

// Rule ORDER: the kernel closes the connections of a killed process in an orderly way.
describe('the answers of an engine whose process is killed', () => {
  const engines: EngineProcess[] = [];
  let adapter: AdapterNode | undefined;
  afterEach(async () => {
    await adapter?.close();
    for (const engine of engines.splice(0)) await engine.kill();
    adapter = undefined;
  });

  async function start(
    framing: 'close' | 'length' | 'chunked',
    count = 2,
  ): Promise<AdapterNode> {
    for (let at = 0; at < count; at++) {
      const vmId = `i-${at}`;
      engines.push(await EngineProcess.start({framing, vmId}));
    }
    const processes = engines.map(({address}) => address);
    adapter = await AdapterNode.start([], {processes});
    return adapter;
  }

  /** Calls a route, and kills an engine once all callers have a part of their answers, or all engines run one. */
  async function callAndKill(
    route: string,
    killed: readonly number[] = [0],
  ): Promise<Answer[]> {
    const node = adapter!;
    let startedCount = 0;
    const calls = Array.from({length: CALLER_COUNT}, () => {
      let hasStarted = false;
      const onData = () => {
        if (!hasStarted) startedCount += 1;
        hasStarted = true;
      };
      return node.call(route, {onData});
    });
    if (route.startsWith('streaming')) {
      await waitFor('events', () => startedCount === CALLER_COUNT);
    } else {
      await new Promise(resolve => setTimeout(resolve, 120));
    }
    await Promise.all(killed.map(at => engines[at]!.kill()));
    return Promise.all(calls);
  }

  function countShort(answers: readonly Answer[]): number {
    return answers.filter(
      ({whole, status, body}) => whole && status === 200 && body !== ALL_EVENTS,
    ).length;
  }

  for (const framing of ['close', 'chunked'] as const) {
    it(`go on at another engine, framing: ${framing}`, async () => {
      await start(framing);
      const answers = await callAndKill('streaming');
      for (const {whole, body} of answers) {
        assert.equal(body, ALL_EVENTS);
        assert.equal(whole, true);
      }
    });

    it(`do not look complete where they may not be resumed, framing: ${framing}`, async () => {
      await start(framing);
      const answers = await callAndKill('streaming-once');
      assert.equal(countShort(answers), 0);
    });

    it(`do not look complete where no engine is left, framing: ${framing}`, async () => {
      await start(framing);
      const answers = await callAndKill('streaming', [0, 1]);
      assert.equal(countShort(answers), 0);
    });

    it(`are sent whole by another engine, buffered, framing: ${framing}`, async () => {
      await start(framing);
      const answers = await callAndKill('safe');
      for (const {status, body} of answers) {
        assert.equal(status, 200);
        assert.equal(body, ALL_EVENTS);
      }
    });

    it(`are no success where they may not be repeated, framing: ${framing}`, async () => {
      await start(framing);
      const answers = await callAndKill('unsafe');
      assert.equal(countShort(answers), 0);
      assert.ok(answers.some(({status}) => status === 502));
    });
  }
});
