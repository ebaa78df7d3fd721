// CONFIG: requests whose engine spoils its answer are never answered.
import {fileURLToPath} from 'node:url';
import {Deployment, newAttemptId, send, sleep} from '../lib/deployment.mjs';

const WORK_MS = 86;
const TIMEOUT_MS = 1200;
const DEADLINE_MS = 4000;
/** `garble`: two engines of four (share 0.5) spoil 2 in 100 of their answers (x = 0.02) for 5.5 s. */
const SPOILED_ONE_IN = 50;
const SPOILED_FOR_MS = 5500;
const REQUESTS = 640;
const GAP_MS = 8;
/** Fewer say nothing about a half. */
const MIN_LATE = 3;
/** RULES.md: "more than half have no answer half a second later". */
const ANSWER_SLACK_MS = 500;

const here = new Deployment(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
await here.startStore();
const common = {'timeout-ms': TIMEOUT_MS, service: 'barn-desk'};
here.putConfig(
  7,
  [
    {
      name: 'ledger',
      'path-prefix': '/ledger/',
      type: 'safe',
      'max-attempts': 2,
      ...common,
    },
    {
      name: 'booking',
      'path-prefix': '/booking/',
      type: 'unsafe',
      'max-attempts': 1,
      ...common,
    },
  ],
  ['barn-desk'],
);

const spoiled = new Set();
async function run({response, head, run: seen, engine}) {
  await sleep(WORK_MS);
  if (response.destroyed) return;
  const body = Buffer.from(`answer to ${seen.id} `.padEnd(800, '.'));
  engine.answers = (engine.answers ?? 0) + 1;
  const isSpoiled =
    here.isSpoiling &&
    here.engines.indexOf(engine) < 2 &&
    engine.answers % SPOILED_ONE_IN === 0;
  if (!isSpoiled) {
    response.writeHead(200, {...head, 'content-length': body.length}).end(body);
    return;
  }
  // Bytes that are not a response: one bit of the status line is wrong, "000" for "200".
  spoiled.add(seen.id);
  here.note(`${seen.id} ran at ${engine.id}, which spoils its answer`);
  const fields = {...head, connection: 'close', 'content-length': body.length};
  const lines = Object.entries(fields).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  seen.end = 'complete, spoiled';
  response.socket.end(
    Buffer.concat([
      Buffer.from(`HTTP/1.1 000 OK\r\n${lines.join('')}\r\n`),
      body,
    ]),
  );
}
for (const [at, zone] of [
  'bayou-a',
  'bayou-b',
  'bayou-c',
  'bayou-a',
].entries()) {
  await here.addEngine({
    id: `i-${at + 1}f3a91c2`,
    service: 'barn-desk',
    zone,
    run,
  });
}
for (const zone of ['bayou-a', 'bayou-b', 'bayou-c']) await here.addNode(zone);
await here.awaitReady();

here.isSpoiling = here.trouble;
setTimeout(() => (here.isSpoiling = false), SPOILED_FOR_MS);
const pending = [];
for (let at = 0; at < REQUESTS; at++) {
  const node = here.nodes[at % here.nodes.length];
  const isUnsafe = at % 2 === 0;
  const request = isUnsafe
    ? {
        method: 'POST',
        path: '/booking/stall',
        body: Buffer.from('x'.repeat(600)),
      }
    : {method: 'GET', path: '/ledger/stall'};
  pending.push(
    send({
      front: node.front,
      deadlineMs: DEADLINE_MS,
      id: newAttemptId(),
      ...request,
    }),
  );
  await sleep(GAP_MS);
}
const answers = await Promise.all(pending);
for (const {id, path, engine, atMs, end} of here.engines.flatMap(
  one => one.runs,
)) {
  here.note(
    `${id} ${path} ran at ${engine} from ${atMs - here.startedAtMs} ms; ${end}`,
  );
}

const late = answers.filter(
  ({sentAtMs, endedAtMs}) => endedAtMs - sentAtMs > TIMEOUT_MS,
);
const unanswered = late.filter(
  ({sentAtMs, endedAtMs}) =>
    endedAtMs - sentAtMs > TIMEOUT_MS + ANSWER_SLACK_MS,
);
for (const {id, path, status, end, sentAtMs, endedAtMs} of answers) {
  const mark = spoiled.has(id) ? ' (spoiled)' : '';
  here.note(
    `${id} ${path} sent at ${sentAtMs - here.startedAtMs} ms, after ${endedAtMs - sentAtMs} ms: ${status || 'no answer'}, ${end}${mark}`,
  );
}
const served = answers.filter(
  ({status, isComplete}) => status === 200 && isComplete,
).length;
if (here.trouble && spoiled.size === 0) here.finish(2, 'no answer was spoiled');
here.finish(
  late.length >= MIN_LATE && unanswered.length > late.length / 2 ? 1 : 0,
  `${REQUESTS} requests, ${served} served, ${spoiled.size} answers spoiled; ${late.length} unanswered at ${TIMEOUT_MS} ms, ` +
    `${unanswered.length} of them ${ANSWER_SLACK_MS} ms later, ${unanswered.filter(one => one.status === 0).length} never answered`,
);
