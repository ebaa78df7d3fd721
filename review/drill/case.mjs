// CONFIG: a node that starts when the store is back from a copy accepts a key that was taken away.
import {get} from 'node:http';
import {fileURLToPath} from 'node:url';
import {
  Deployment,
  KEY,
  newAttemptId,
  send,
  sleep,
} from '../lib/deployment.mjs';

const OLD_KEY = 'anfqasnmgkcuyj8pjbvk';
const REVOKE_MS = 5000;
/** Times after the acknowledgement of the configuration that takes the key away. */
/** A machine is replaced: the new one starts first, the old one gets SIGTERM later. */
const START_NEW_MS = 5000;
const STOP_OLD_MS = 6000;
const AWAY_MS = 4700;
const BACK_MS = 5500;
/** The operator writes its configuration again so long after the store's return; engines are back within about two seconds. */
const REWRITE_MS = 1000;
const END_MS = 11_000;

const here = new Deployment(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
await here.startStore();
const routes = [
  {
    name: 'booking',
    'path-prefix': '/booking/',
    type: 'unsafe',
    'timeout-ms': 2000,
    service: 'barn-desk',
  },
];
here.putConfig(7, routes, ['barn-desk'], [KEY, OLD_KEY]);

async function run({response, head, body}) {
  await sleep(60);
  if (response.destroyed) return;
  response.writeHead(200, {...head, 'content-length': body.length});
  response.end(body);
}
const zones = ['bayou-a', 'bayou-b', 'bayou-c'];
for (const [at, zone] of zones.entries()) {
  await here.addEngine({
    id: `i-${at + 1}f3a91c2`,
    service: 'barn-desk',
    zone,
    run,
  });
}
for (const zone of zones) await here.addNode(zone);
await here.awaitReady();

const copy = here.store.copy();
here.note('a copy of the store is taken');
await sleep(500);
here.putConfig(11, routes, ['barn-desk'], [KEY]);
const ackAtMs = Date.now();
const sinceAckMs = () => Date.now() - ackAtMs;

const old = here.nodes[2];
setTimeout(() => void here.addNode(zones[2], {}, false), START_NEW_MS);
setTimeout(() => {
  here.note(`${old.name} gets SIGTERM`);
  old.child.kill('SIGTERM');
}, STOP_OLD_MS);
if (here.trouble) {
  setTimeout(() => {
    here.note('the store is away');
    here.store.leave();
  }, AWAY_MS);
  setTimeout(() => {
    here.store.comeBack(copy);
    here.note('the store is back from the copy; engines write again');
    for (const engine of here.engines) engine.beat();
  }, BACK_MS);
  setTimeout(
    () => here.putConfig(11, routes, ['barn-desk'], [KEY]),
    BACK_MS + REWRITE_MS,
  );
}

const isReady = ({ready}) =>
  new Promise(resolve => {
    const call = get(`http://${ready}/readyz`, {agent: false}, response => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    call.on('error', () => resolve(false));
  });
const pending = [];
while (sinceAckMs() < END_MS) {
  for (const node of here.nodes) {
    if (!(await isReady(node))) continue;
    for (const key of [KEY, OLD_KEY]) {
      const id = newAttemptId();
      pending.push(
        send({
          front: node.front,
          method: 'POST',
          path: '/booking/stall',
          body: Buffer.from(id),
          deadlineMs: 2500,
          headers: {authorization: `Bearer ${key}`},
          id,
        }).then(answer => ({...answer, node: node.name, key})),
      );
    }
  }
  await sleep(80);
}
const answers = await Promise.all(pending);

const ran = new Set(here.engines.flatMap(({runs}) => runs.map(({id}) => id)));
const late = [];
const counts = new Map(here.nodes.map(({name}) => [name, 0]));
for (const {id, node, key, status, sentAtMs} of answers) {
  const afterAckMs = sentAtMs - ackAtMs;
  const hasRun = ran.has(id);
  here.note(
    `${id} at ${node}, ${key === KEY ? 'key in force' : 'key taken away'}, sent ${afterAckMs} ms after the acknowledgement: ${status}${hasRun ? ', ran' : ''}`,
  );
  if (key !== OLD_KEY || !hasRun || afterAckMs <= REVOKE_MS) continue;
  late.push(afterAckMs);
  counts.set(node, counts.get(node) + 1);
}
const served = answers.filter(
  ({key, status}) => key === KEY && status === 200,
).length;
const known = answers.filter(({key}) => key === KEY).length;
const fresh = here.nodes[3];
const toFresh = answers.filter(({node}) => node === fresh.name).length;
if (served < known / 2 || toFresh === 0)
  here.finish(
    2,
    `only ${served} of ${known} served, ${toFresh} sent to the new node`,
  );
here.finish(
  late.length > 0 ? 1 : 0,
  `${answers.length} requests; with a key taken away ${late.length} ran that were sent over ${REVOKE_MS} ms after the acknowledgement (${[...counts].map(([name, count]) => `${name}: ${count}`).join(', ')}${late.length > 0 ? `; ${Math.min(...late)} to ${Math.max(...late)} ms after it` : ''}); ${served} of ${known} with the other key served`,
);
