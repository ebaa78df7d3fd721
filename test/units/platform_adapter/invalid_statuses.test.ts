import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {RawResponder} from '../../support/raw_engine.js';
import type {ServiceName} from '../../../src/core/ids/index.js';
import {AdapterNode} from '../../support/adapter_node.js';
import {isPathDown} from '../../../src/core/serving/reachability/index.js';
import {makeId} from '../../../src/core/ids/index.js';
import {waitFor} from '../../support/wait_for.js';
import {withProbes} from '../../support/with_probes.js';
import {writeEndlessly} from '../../support/write_endlessly.js';

const STATUS_LINES = [
  'HTTP/1.1 000 None',
  'HTTP/1.1 099 Low',
  'HTTP/1.1 20 Short',
  'HTTP/1.1 1000 Long',
  'HTTP/1.1  OK',
  'HTTP/1.1 600 High',
  'HTTP/1.1 999 Highest',
  'HTTP/1.1 101 Switching Protocols',
];
const ROUTES = ['safe', 'unsafe', 'streaming', 'streaming-once'] as const;
const FRAMINGS = {
  'a length': 'Content-Length: 5\r\n\r\nwrong',
  chunks: 'Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n',
  'the end of its connection': 'Connection: close\r\n\r\nwrong',
};
const MAX_INTERIM_RESPONSES = 1000;

const idOf = (request: string) => /x-attempt-id: (.*)\r\n/i.exec(request)?.[1];
const signed = (line: string, request: string) =>
  `${line}\r\nX-Attempt-Id: ${idOf(request)}\r\nX-Response-Signature: s\r\n`;
const isEnding = (framing: string) => framing.includes('close');

/** Answers with a status line that HTTP does not define. */
function answerWith(line: string, framing: string): RawResponder {
  return withProbes((socket, request) => {
    socket.write(signed(line, request) + framing);
    if (isEnding(framing)) socket.end();
  });
}

const answerOk: RawResponder = withProbes((socket, request) => {
  socket.write(
    `${signed('HTTP/1.1 200 OK', request)}Content-Length: 2\r\n\r\nok`,
  );
});

// An engine's status outside of 200 to 599 is no answer: 600 and 999 reached callers with its signature.
describe('a response whose status HTTP does not define', () => {
  const nodes: AdapterNode[] = [];
  afterEach(async () => {
    for (const node of nodes.splice(0)) await node.close();
  });

  async function start(
    ...args: Parameters<typeof AdapterNode.start>
  ): Promise<AdapterNode> {
    const node = await AdapterNode.start(...args);
    nodes.push(node);
    return node;
  }

  async function assertNoAnswer(
    node: AdapterNode,
    route: string,
    callerId = 'attempt-1',
  ): Promise<void> {
    const answer = await node.call(route, {
      headers: {'x-attempt-id': callerId},
    });
    assert.equal(answer.status, 502);
    assert.equal(answer.headers['x-response-signature'], undefined);
    assert.doesNotMatch(answer.body, /wrong/);
  }

  const runsOf = ({engines}: AdapterNode, callerId = 'attempt-1') =>
    engines
      .flatMap(({requests}) => requests)
      .filter(request => idOf(request) === callerId).length;

  for (const line of STATUS_LINES) {
    for (const [name, framing] of Object.entries(FRAMINGS)) {
      it(`"${line}", with ${name}: 502, and no second run where there is none`, async () => {
        for (const route of ROUTES) {
          const answer = answerWith(line, framing);
          const node = await start([answer, answer]);
          await assertNoAnswer(node, route);
          const runs = runsOf(node);
          const isOnce = route === 'unsafe' || route === 'streaming-once';
          assert.equal(runs, isOnce ? 1 : 2, `${route}: ${runs} runs`);
        }
      });
    }

    it(`"${line}" on a kept connection: 502`, async () => {
      for (const route of ROUTES) {
        const node = await start([answerOk]);
        const first = await node.call('safe');
        assert.equal(first.status, 200);
        node.engines[0]!.answer = answerWith(line, FRAMINGS['a length']);
        await assertNoAnswer(node, route, 'attempt-2');
      }
    });

    it(`"${line}" of one engine: another one answers where a second run is allowed`, async () => {
      const node = await start([
        answerWith(line, FRAMINGS['a length']),
        answerOk,
      ]);
      for (let count = 0; count < 3; count++) {
        const answer = await node.call('safe');
        assert.equal(answer.status, 200);
        assert.equal(answer.body, 'ok');
      }
    });
  }

  for (const line of ['HTTP/1.1 600 High', 'HTTP/1.1 000 None']) {
    it(`"${line}" at a peer that a request is forwarded to: 502`, async () => {
      const peer = await start([answerWith(line, FRAMINGS['a length'])], {
        nodeId: 'edge-2',
        host: '127.0.0.2',
      });
      const cut = await start([answerOk, answerOk, answerOk], {
        peer,
        isPartitioned: true,
      });
      await waitFor(
        'the digests',
        () =>
          cut.node.state.peers.size === 1 && peer.node.state.peers.size === 1,
      );
      await cut.call('safe', {headers: {'x-attempt-id': 'attempt-0'}});
      const service = makeId<ServiceName>('desk');
      await waitFor('the loss of the path', () =>
        isPathDown(cut.node.state, service),
      );
      await assertNoAnswer(cut, 'unsafe');
      assert.equal(runsOf(peer), 1);
    });
  }

  for (const route of ROUTES) {
    it(`interim responses without end on route ${route}: 502, within a bound on their number`, async () => {
      let sent = 0;
      const endless = withProbes((socket, request) => {
        const interim = signed('HTTP/1.1 102 Processing', request);
        const timer = setInterval(() => {
          for (let count = 0; count < 20; count++) {
            sent += 1;
            socket.write(`${interim}\r\n`);
          }
        }, 5);
        socket.on('close', () => clearInterval(timer));
      });
      const node = await start([endless, endless]);
      await assertNoAnswer(node, route);
      assert.ok(sent < MAX_INTERIM_RESPONSES, `${sent} interim responses`);
    });
  }

  it('interim responses without pause: 502', async () => {
    const bytes = Buffer.from('HTTP/1.1 103 Early\r\n\r\n'.repeat(1000));
    const endless = withProbes(socket => writeEndlessly(socket, bytes));
    const node = await start([endless, endless]);
    for (const route of ROUTES) await assertNoAnswer(node, route);
  });

  it('a few interim responses before an answer are skipped', async () => {
    const interim = 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'.repeat(4);
    const node = await start([
      withProbes((socket, request) => {
        socket.write(interim);
        answerOk(socket, request);
      }),
    ]);
    const answer = await node.call('unsafe');
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['x-response-signature'], 's');
  });
});
