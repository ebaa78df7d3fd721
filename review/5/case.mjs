// LOST: a long answer to a client that reads late is cut off when its node is stopped.
import {connect} from 'node:net';
import {fileURLToPath} from 'node:url';
import {
  Deployment,
  HOST,
  KEY,
  newAttemptId,
  sleep,
} from '../lib/deployment.mjs';

const BODY_BYTES = 4_190_000;
const READ_AFTER_MS = 4000;
const TERM_AFTER_MS = 300;
const CLIENTS = 3;

const here = new Deployment(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
await here.startStore();
here.putConfig(
  7,
  [
    {
      name: 'export',
      'path-prefix': '/export/',
      type: 'safe',
      'timeout-ms': 8000,
      'max-attempts': 2,
      service: 'barn-desk',
    },
  ],
  ['barn-desk'],
);
async function run({response, head}) {
  await sleep(86);
  if (response.destroyed) return;
  response.writeHead(200, {...head, 'content-length': BODY_BYTES});
  response.end(Buffer.alloc(BODY_BYTES, 'x'));
}
for (const [at, zone] of ['bayou-a', 'bayou-b', 'bayou-c'].entries()) {
  await here.addEngine({
    id: `i-${at + 1}f3a91c2`,
    service: 'barn-desk',
    zone,
    run,
  });
}
for (const zone of ['bayou-a', 'bayou-b', 'bayou-c']) await here.addNode(zone);
await here.awaitReady();

const victim = here.nodes[0];
function fetchLate() {
  const id = newAttemptId();
  const [host, port] = victim.front.split(':');
  return new Promise(resolve => {
    let size = 0;
    const socket = connect(Number(port), host);
    socket.write(
      `GET /export/ledger HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer ${KEY}\r\n\r\n`,
    );
    socket.pause();
    here.note(
      `${id} sent to ${victim.name}; the client reads from ${READ_AFTER_MS} ms on`,
    );
    setTimeout(() => socket.resume(), READ_AFTER_MS);
    const finish = end => resolve({id, end, size});
    socket.on('data', bytes => {
      size += bytes.length;
      if (size >= BODY_BYTES) finish('complete');
    });
    socket.on('error', error => finish(error.message));
    socket.on('end', () => finish('the connection ended'));
    setTimeout(() => finish('nothing more'), 8500).unref();
  });
}
const pending = Array.from({length: CLIENTS}, fetchLate);
await sleep(TERM_AFTER_MS);
if (here.trouble) {
  here.note(`${victim.name} gets SIGTERM`);
  victim.child.kill('SIGTERM');
}
const answers = await Promise.all(pending);
for (const {id, end, size} of answers)
  here.note(`${id}: ${end}, ${size} of more than ${BODY_BYTES} bytes`);
const lost = answers.filter(({size}) => size < BODY_BYTES);
here.finish(
  lost.length ? 1 : 0,
  `${lost.length} of ${CLIENTS} answers incomplete: ${lost.map(({size, end}) => `${size} bytes, ${end}`).join('; ')}`,
);
