// CONFIG: after one spoiled stream a node's timed work stands still for good: it misses a new configuration, and requests
// that reach their time-out are never answered.
import {fileURLToPath} from 'node:url';
import {Deployment, newAttemptId, send, sleep} from '../lib/deployment.mjs';

const FIRST_MS = 93;
const GAP_MS = 50;
const EVENTS = 29;
const WORK_MS = 86;
const TIMEOUT_MS = 1200;
const CONFIG_APPLY_MS = 2000;
/** `garble`: one engine of three spoils one answer of fifty (x = 0.02) for 5.5 s. */
const SPOILED_ONE_IN = 50;
const SPOILED_AT = 3;
const SPOILED_FOR_MS = 5500;

const here = new Deployment(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const plan = {
  name: 'plan',
  'path-prefix': '/plan/',
  type: 'streaming',
  resumable: true,
  'timeout-ms': 8000,
  'latency-goal-ms': 400,
  'gap-goal-ms': 250,
  'max-attempts': 2,
  service: 'barn-desk',
};
const booking = {
  name: 'booking',
  'path-prefix': '/booking/',
  type: 'unsafe',
  'timeout-ms': TIMEOUT_MS,
  service: 'barn-desk',
};
const added = {...booking, name: 'added', 'path-prefix': '/added/'};
await here.startStore();
here.putConfig(7, [plan, booking], ['barn-desk']);

let isTroubled = false;
async function run({request, response, head, run: seen, engine}) {
  if (!request.url.startsWith('/plan/')) {
    await sleep(WORK_MS);
    if (!response.destroyed)
      response.writeHead(200, {...head, 'content-length': 2}).end('ok');
    return;
  }
  const isFaulty = isTroubled && engine === here.engines[0];
  if (isFaulty) engine.streams = (engine.streams ?? 0) + 1;
  const isSpoiled = isFaulty && engine.streams % SPOILED_ONE_IN === SPOILED_AT;
  await sleep(FIRST_MS);
  if (response.destroyed) return;
  response.writeHead(200, {...head, 'content-type': 'text/event-stream'});
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  for (let at = first; at <= EVENTS && !response.destroyed; at++) {
    // Wrong bytes: one bit is wrong in the id of the seventh event, 0x17 for 0x37. The answer is truncated after it.
    const id = isSpoiled && at === 7 ? '\x17' : String(at);
    response.write(`id: ${id}\ndata: ${seen.id} ${at} of ${EVENTS}\n\n`);
    if (isSpoiled && at === 7) {
      here.note(
        `${seen.id} at ${engine.id}: the answer is spoiled and truncated`,
      );
      return;
    }
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
for (let at = 0; at < 3; at++) await here.addNode('bayou-a');
await here.awaitReady();

isTroubled = here.trouble;
if (isTroubled) {
  here.note(`${here.engines[0].id} spoils some answers`);
  setTimeout(() => {
    isTroubled = false;
    here.note(`${here.engines[0].id} is sound again`);
  }, SPOILED_FOR_MS);
}
const pending = [];
const request = (node, path, deadlineMs) =>
  pending.push(
    send({
      front: node.front,
      method: 'POST',
      path,
      body: Buffer.from('x'.repeat(600)),
      deadlineMs,
      id: newAttemptId(),
    }).then(answer => ({...answer, node: node.name})),
  );
const startedAtMs = Date.now();
let acknowledgedAtMs;
for (let at = 0; Date.now() - startedAtMs < 13_000; at++) {
  const node = here.nodes[at % 3];
  request(node, '/booking/stall', 4000);
  if (at % 3 !== 0) request(node, '/plan/week', 8000);
  if (!acknowledgedAtMs && Date.now() - startedAtMs > 8000) {
    here.putConfig(8, [plan, booking, added], ['barn-desk']);
    acknowledgedAtMs = Date.now();
  }
  if (acknowledgedAtMs && Date.now() - acknowledgedAtMs > CONFIG_APPLY_MS)
    request(node, '/added/stall', 4000);
  await sleep(30);
}
const answers = await Promise.all(pending);
for (const {id, path, engine, atMs, end} of here.engines.flatMap(
  one => one.runs,
)) {
  here.note(
    `${id} ${path} ran at ${engine} from ${atMs - here.startedAtMs} ms; ${end}`,
  );
}

const timeoutOf = ({path}) => (path.startsWith('/plan/') ? 8000 : TIMEOUT_MS);
const late = answers.filter(
  one => one.endedAtMs - one.sentAtMs > timeoutOf(one),
);
const unanswered = late.filter(
  one => one.endedAtMs - one.sentAtMs > timeoutOf(one) + 500,
);
const old = answers.filter(
  ({path, status}) => path.startsWith('/added/') && status === 404,
);
for (const {id, node, path, status, end, sentAtMs, endedAtMs} of answers) {
  here.note(
    `${id} ${path} at ${node} sent at ${sentAtMs - here.startedAtMs} ms, after ${endedAtMs - sentAtMs} ms: ${status || 'no answer'}, ${end}`,
  );
}
const byNode = here.nodes
  .map(({name}) => `${name}: ${old.filter(one => one.node === name).length}`)
  .join(', ');
const statuses = here.nodes.map(({name}) => {
  const all = answers
    .filter(one => one.node === name && one.path.startsWith('/added/'))
    .map(one => one.status);
  return `${name} ${[...new Set(all)].map(status => `${status} x ${all.filter(one => one === status).length}`).join(' ')}`;
});
here.finish(
  old.length > 0 ||
    (unanswered.length >= 8 && unanswered.length > late.length / 4)
    ? 1
    : 0,
  `${answers.length} requests; ${old.length} answered 404 over ${CONFIG_APPLY_MS} ms after the route was added (${byNode}); ` +
    `${late.length} unanswered at their time-out, ${unanswered.length} of them 500 ms later; the added route: ${statuses.join('; ')}`,
);
