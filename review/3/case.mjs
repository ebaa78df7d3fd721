// MIXED: an answer that was cut off by the end of a node looks complete to its client.
import {fileURLToPath} from 'node:url';
import {Deployment, newAttemptId, send, sleep} from '../lib/deployment.mjs';

const FIRST_MS = 93;
const GAP_MS = 50;
const EVENTS = 29;
const REQUESTS = 60;
const KILL_AFTER_MS = 3000;

const here = new Deployment(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
await here.startStore();
here.putConfig(
  7,
  [
    {
      name: 'plan',
      'path-prefix': '/plan/',
      type: 'streaming',
      resumable: true,
      'timeout-ms': 8000,
      'latency-goal-ms': 400,
      'gap-goal-ms': 250,
      'max-attempts': 2,
      service: 'barn-desk',
    },
  ],
  ['barn-desk'],
);

const event = (id, at) => `id: ${at}\ndata: ${id} ${at} of ${EVENTS}\n\n`;
const wholeBody = id =>
  Array.from({length: EVENTS}, (_, at) => event(id, at + 1)).join('');
async function run({request, response, head, run: seen}) {
  await sleep(FIRST_MS);
  if (response.destroyed) return;
  // An answer without a length, which ends with its connection.
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, {
    ...head,
    'content-type': 'text/event-stream',
    connection: 'close',
  });
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  for (let at = first; at <= EVENTS && !response.destroyed; at++) {
    response.write(event(seen.id, at));
    if (at < EVENTS) await sleep(GAP_MS);
  }
  response.end();
}
for (const [at, zone] of ['bayou-a', 'bayou-b', 'bayou-c'].entries()) {
  await here.addEngine({
    id: `i-${at + 1}f3a91c2`,
    service: 'barn-desk',
    zone,
    slots: 18,
    run,
  });
}
for (const zone of ['bayou-a', 'bayou-b', 'bayou-c']) await here.addNode(zone);
await here.awaitReady();

const victim = here.nodes[1];
if (here.trouble) {
  setTimeout(() => {
    here.note(`${victim.name} is killed`);
    victim.child.kill('SIGKILL');
  }, KILL_AFTER_MS);
}
const pending = [];
for (let at = 0; at < REQUESTS; at++) {
  const running = here.nodes.filter(node => !node.exitedAtMs);
  const node = running[at % running.length];
  const id = newAttemptId();
  here.note(`${id} sent to ${node.name}`);
  pending.push(
    send({
      front: node.front,
      method: 'POST',
      path: '/plan/week',
      body: Buffer.from('x'.repeat(600)),
      deadlineMs: 8000,
      id,
    }).then(answer => ({...answer, node: node.name})),
  );
  await sleep(80);
}
const answers = await Promise.all(pending);

const runs = here.engines.flatMap(engine => engine.runs);
for (const {id, engine, end} of runs)
  here.note(`${id} ran at ${engine}; ${end}`);
const mixed = [];
for (const {id, node, status, isComplete, end, body, headers} of answers) {
  const isSuccess =
    status === 200 &&
    headers['x-response-signature'] !== undefined &&
    isComplete;
  const isWhole = body.toString() === wholeBody(id);
  const events = body.toString().split('\n\n').length - 1;
  here.note(
    `${id} at ${node}: ${status || 'no answer'}, ${end}, ${events} of ${EVENTS} events`,
  );
  if (isSuccess && !isWhole) mixed.push(`${id} ${events}/${EVENTS}`);
}
const whole = answers.filter(
  ({id, body}) => body.toString() === wholeBody(id),
).length;
if (whole < REQUESTS / 3) here.finish(2, `only ${whole} whole answers`);
here.finish(
  mixed.length > 0 ? 1 : 0,
  `${REQUESTS} requests, ${whole} whole answers; successes that end cleanly without the whole body: ${mixed.length} (${mixed.join(', ')})`,
);
