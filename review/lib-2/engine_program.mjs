import {createServer} from 'node:net';

/**
 * An engine that runs as a process of its own, so that the kernel closes its
 * connections when it ends. Its first UNFRAMED answers have no length and end with
 * their connections, the others are sent in chunks. The first line of its output
 * is its port; each run adds one line.
 */
const {ID, HOST, BORN, EVENTS, EVENT_MS, UNFRAMED} = process.env;
const eventCount = Number(EVENTS);
let unframedLeft = Number(UNFRAMED);

const server = createServer(socket => {
  let text = '';
  socket.on('error', () => {});
  socket.on('data', chunk => {
    text += chunk.toString('latin1');
    const end = text.indexOf('\r\n\r\n');
    if (end < 0) return;
    const head = text.slice(0, end);
    const length = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? 0);
    if (text.length < end + 4 + length) return;
    text = text.slice(end + 4 + length);
    answer(socket, head);
  });
});

function answer(socket, head) {
  if (head.startsWith('GET /report') || head.startsWith('GET /healthz')) {
    const body = JSON.stringify({
      stage: 'unified',
      models: [],
      busy: false,
      sequence: 1,
      queued: 0,
      active: 0,
      born: Number(BORN),
    });
    socket.end(
      `HTTP/1.1 200 OK\r\nX-Instance-Id: ${ID}\r\nContent-Length: ${body.length}\r\n` +
        `Connection: close\r\n\r\n${body}`,
    );
    return;
  }
  const attemptId = /\r\nx-attempt-id: (\S+)/i.exec(head)?.[1] ?? '';
  const expected = /\r\nx-expect-instance: (\S+)/i.exec(head)?.[1] ?? ID;
  if (expected !== ID) {
    socket.write(
      `HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: ${attemptId}\r\n` +
        `X-Instance-Id: ${ID}\r\nContent-Length: 0\r\n\r\n`,
    );
    return;
  }
  const isFramed = unframedLeft <= 0;
  unframedLeft -= 1;
  const framing = isFramed ? 'in chunks' : 'without a length';
  console.log(`run ${attemptId} ${framing} at ${Date.now()}`);
  const last = Number(/\r\nlast-event-id: (\d+)/i.exec(head)?.[1] ?? 0);
  socket.write(
    `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attemptId}\r\n` +
      `X-Response-Signature: ${ID}.${attemptId}\r\n` +
      'Content-Type: text/event-stream\r\n' +
      `${isFramed ? 'Transfer-Encoding: chunked' : 'Connection: close'}\r\n\r\n`,
  );
  const write = event =>
    socket.write(
      isFramed ? `${event.length.toString(16)}\r\n${event}\r\n` : event,
    );
  let id = last;
  const timer = setInterval(() => {
    id += 1;
    if (id <= eventCount) {
      write(`id: ${id}\ndata: {"text":"word ${id}"}\n\n`);
    }
    if (id < eventCount) return;
    clearInterval(timer);
    if (isFramed) socket.write('0\r\n\r\n');
    else socket.end();
  }, Number(EVENT_MS));
  socket.once('close', () => clearInterval(timer));
}

server.listen(0, HOST, () => console.log(server.address().port));
