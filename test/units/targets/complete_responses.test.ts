import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import type {ServerResponse} from 'node:http';
import {request as sendRequest} from 'node:http';
import {RequestNode} from '../../support/request_node.js';
import {ScriptedTarget} from '../../support/scripted_target.js';
import {moveAttempts} from '../../../src/core/requests/index.js';
import {TOKEN} from '../../support/seed_state.js';
import {readChat} from '../../support/read_chat.js';
import {waitFor} from '../../support/wait_for.js';

const WORDS = ['one ', 'two ', 'three ', 'four ', 'five '];
const WHOLE_TEXT = WORDS.join('');
const LARGE_TOKENS = 50_000;
const LARGE_TOKEN_CHARS = 2000;
/** The kernel's buffers for two connections, with a small margin. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;
const CANCEL_TIMEOUT_MS = 5000;

let node: RequestNode;
const closing: {close(): unknown}[] = [];

beforeEach(async () => {
  node = await RequestNode.start({timeoutMs: 20_000});
  closing.push(node);
});

afterEach(() => {
  for (const one of closing.splice(0)) one.close();
});

async function addTarget(
  service: string,
  id: string,
  script: Parameters<typeof ScriptedTarget.start>[0],
): Promise<ScriptedTarget> {
  const target = await ScriptedTarget.start(script);
  closing.push(target);
  node.addTarget(service, id, target.address);
  return target;
}

function tokenEvent(content: string): string {
  const choices = [{index: 0, delta: {content}}];
  return `data: ${JSON.stringify({choices})}\n\n`;
}

function startStream(response: ServerResponse): void {
  response.writeHead(200, {'content-type': 'text/event-stream'});
}

/** Streams the words after the position to resume from, with the end marker. */
function streamRest(response: ServerResponse, body: string): void {
  const {resume} = JSON.parse(body) as {resume?: {tokens: number}};
  startStream(response);
  for (const word of WORDS.slice(resume?.tokens ?? 0)) {
    response.write(tokenEvent(word));
  }
  response.end('data: [DONE]\n\n');
}

/** Streams two words and half an event, then resets the connection. */
function breakMidway(response: ServerResponse): void {
  startStream(response);
  const events = tokenEvent('one ') + tokenEvent('two ');
  response.write(events + tokenEvent('thr').slice(0, 20));
  setTimeout(() => response.socket?.resetAndDestroy(), 50);
}

test('a stream that breaks midway is resumed at another target after the delivered tokens', async () => {
  const bodies: string[] = [];
  for (const id of ['a', 'b']) {
    await addTarget('chat', id, ({response, body}) => {
      bodies.push(body);
      if (bodies.length === 1) breakMidway(response);
      else streamRest(response, body);
    });
  }
  const chat = readChat((await node.chat()).body);
  assert.equal(chat.text, WHOLE_TEXT);
  assert.equal(chat.tokens, WORDS.length);
  assert.equal(chat.done, true);
  assert.deepEqual(JSON.parse(bodies[1]!).resume, {
    text: 'one two ',
    tokens: 2,
  });
});

test('a stream that cannot be resumed ends in an error event with a verdict', async () => {
  await addTarget('chat', 'a', ({response}) => breakMidway(response));
  const answer = await node.chat();
  const chat = readChat(answer.body);
  assert.match(answer.body, /event: error\n/);
  assert.equal(chat.done, false);
  assert.equal(chat.error?.name, 'TargetFailed');
  assert.equal(chat.error?.verdict, 'may-have-run');
});

test('a stream without its end marker counts as incomplete and is resumed', async () => {
  let calls = 0;
  await addTarget('chat', 'a', ({response, body}) => {
    calls += 1;
    if (calls > 1) return streamRest(response, body);
    startStream(response);
    response.end(tokenEvent('one '));
  });
  const chat = readChat((await node.chat()).body);
  assert.equal(chat.text, WHOLE_TEXT);
  assert.equal(calls, 2);
});

test('a stream moved off its target continues at another one, without late bytes of the first', async () => {
  const first = await addTarget('chat', 'a', ({response}) => {
    startStream(response);
    response.write(tokenEvent('one ') + tokenEvent('two '));
  });
  let seen = '';
  const chat = node.chat({onData: text => (seen += text)});
  await waitFor('two tokens', () => readChat(seen).tokens === 2);
  await addTarget('chat', 'b', ({response, body}) => {
    streamRest(response, body);
  });
  const targetId = [...node.state.requests.byTarget.keys()][0]!;
  node.applyStep(step => {
    moveAttempts(step, targetId, 'target-barred');
    for (const {response} of first.receivedRequests)
      response.write(tokenEvent('late '));
  });
  assert.equal(readChat((await chat).body).text, WHOLE_TEXT);
  await waitFor(
    'the cancellation at the first target',
    () => first.cancelled === 1,
  );
});

test('an unrepeatable request moved off its target ends in an explicit error', async () => {
  const target = await addTarget('orders', 'a', () => {});
  const order = node.order('k');
  await waitFor('the order', () => target.receivedRequests.length === 1);
  const targetId = [...node.state.requests.byTarget.keys()][0]!;
  node.applyStep(step => moveAttempts(step, targetId, 'target-barred'));
  const {error} = JSON.parse((await order).body);
  assert.equal(error.name, 'MayHaveRun');
  assert.equal(error.verdict, 'may-have-run');
});

for (const framing of ['length', 'chunks'] as const) {
  test(`a truncated buffered response (${framing}) is retried`, async () => {
    await addTarget('stock', 'a', ({response, index}) => {
      if (index > 0) {
        response.end('all of it');
        return;
      }
      if (framing === 'length') response.setHeader('content-length', 9);
      response.write('all ');
      setTimeout(() => response.socket?.destroy(), 50);
    });
    const answer = await node.call('/services/stock/list');
    assert.equal(answer.status, 200);
    assert.equal(answer.body, 'all of it');
  });
}

test('a truncated response to an unrepeatable request is an explicit error', async () => {
  await addTarget('orders', 'a', ({response}) => {
    response.setHeader('content-length', 9);
    response.write('all ');
    setTimeout(() => response.socket?.destroy(), 50);
  });
  const answer = await node.order('k');
  assert.equal(answer.status, 502);
  assert.equal(JSON.parse(answer.body).error.name, 'MayHaveRun');
});

test('a long response that is truncated after its start is aborted, not ended normally', async () => {
  await addTarget('stock', 'a', ({response}) => {
    response.write(Buffer.alloc(3 * 1024 * 1024, 'x'));
    setTimeout(() => response.socket?.destroy(), 200);
  });
  const answer = await node.call('/services/stock/list');
  assert.equal(answer.whole, false);
});

test('responses reach their own callers when they arrive out of order', async () => {
  const waiting: {response: ServerResponse; body: string}[] = [];
  await addTarget('stock', 'a', seen => {
    waiting.push(seen);
    if (waiting.length < 4) return;
    for (const {response, body} of waiting.reverse()) response.end(body);
  });
  const bodies = ['w', 'x', 'y', 'z'];
  const answers = await Promise.all(
    bodies.map(body => node.call('/services/stock/count', {body})),
  );
  assert.deepEqual(
    answers.map(answer => answer.body),
    bodies,
  );
});

test('the request of a caller that disconnects is cancelled and its slot is released', async () => {
  const target = await addTarget('chat', 'a', ({response}) => {
    startStream(response);
    response.write(tokenEvent('one '));
  });
  const caller = new AbortController();
  const chat = node.chat({
    signal: caller.signal,
    onData: () => caller.abort(),
  });
  await chat.catch(() => undefined);
  const isCancelled = () => target.cancelled === 1;
  await waitFor(
    'the cancellation of the request',
    isCancelled,
    CANCEL_TIMEOUT_MS,
  );
  assert.equal(node.state.requests.byId.size, 0);
  assert.equal(node.state.requests.byTarget.size, 0);
});

test('a caller that reads slowly applies back-pressure to the target and receives the whole response', async () => {
  let sentBytes = 0;
  await addTarget('chat', 'a', ({response}) => {
    startStream(response);
    const event = tokenEvent('x'.repeat(LARGE_TOKEN_CHARS));
    let left = LARGE_TOKENS;
    const send = () => {
      while (left > 0) {
        left -= 1;
        sentBytes += event.length;
        if (response.write(event)) continue;
        response.once('drain', send);
        return;
      }
      response.end('data: [DONE]\n\n');
    };
    send();
  });
  const response = await new Promise<import('node:http').IncomingMessage>(
    (resolve, reject) => {
      const headers = {authorization: `Bearer ${TOKEN}`};
      const options = {method: 'POST', headers, agent: false} as const;
      const call = sendRequest(node.url + '/v1/chat/completions', options);
      call.on('response', resolve);
      call.on('error', reject);
      call.end('{"model":"chat","stream":true,"messages":[]}');
    },
  );
  await waitFor('back-pressure at the target', async () => {
    const before = sentBytes;
    await new Promise(resolve => setTimeout(resolve, 300));
    return before > 0 && sentBytes === before;
  });
  assert.ok(sentBytes < MAX_BUFFERED_BYTES, `${sentBytes} bytes were buffered`);
  let tail = '';
  let receivedBytes = 0;
  for await (const chunk of response) {
    receivedBytes += (chunk as Buffer).length;
    tail = (tail + (chunk as Buffer).toString()).slice(-20);
  }
  assert.ok(tail.endsWith('data: [DONE]\n\n'));
  assert.equal(receivedBytes, sentBytes + 'data: [DONE]\n\n'.length);
});
