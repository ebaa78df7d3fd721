import {createServer} from 'node:http';
import {once} from 'node:events';

const HEARTBEAT_MS = 1200;
let bornAtMs = Date.now();

/** Stand-in of an engine of a plain service, by PROTOCOL.md: it registers in the store, echoes the attempt's id, signs its answers, and rejects requests for another instance. */
export class Engine {
  /** @param answer Called with the request, the response and the headers of an answer; answers the request. */
  constructor({store, service, id, answer, onRun = () => {}, slots = 6}) {
    bornAtMs += 1;
    Object.assign(this, {store, service, id, answer, onRun, slots});
    this.born = bornAtMs;
    this.sequence = 0;
    this.state = 'ready';
    this.active = 0;
    this.server = createServer((message, response) =>
      this.#handle(message, response),
    );
  }

  async start(host) {
    this.server.listen(0, host);
    await once(this.server, 'listening');
    this.address = `${host}:${this.server.address().port}`;
    this.#beat();
    this.timer = setInterval(() => this.#beat(), HEARTBEAT_MS);
    return this;
  }

  /** Reports that it leaves. */
  drain() {
    this.state = 'draining';
    this.#beat();
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  #beat() {
    this.sequence += 1;
    const {service, address, slots, state, born, sequence} = this;
    this.store.put(`servers/${this.id}`, {
      service,
      address,
      zone: 'zone-a',
      version: 'v1',
      slots,
      state,
      'cold-left-ms': 0,
      born,
      sequence,
    });
  }

  async #handle(message, response) {
    response.sendDate = false;
    const attemptId = message.headers['x-attempt-id'];
    if (message.url === '/report' || message.url === '/healthz') {
      const {born, active, sequence} = this;
      const body = {stage: 'unified', models: [], busy: false, sequence};
      response.writeHead(200, {
        'content-type': 'application/json',
        'x-instance-id': this.id,
      });
      response.end(JSON.stringify({...body, born, active, queued: 0}));
      return;
    }
    const expected = message.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'x-instance-id': this.id}).end();
      return;
    }
    let size = 0;
    for await (const chunk of message) size += chunk.length;
    this.active += 1;
    response.once('close', () => (this.active -= 1));
    this.onRun({engine: this, message, attemptId, size, atMs: Date.now()});
    this.answer(message, response, {
      'x-attempt-id': attemptId,
      'x-response-signature': `${this.id}.${attemptId}`,
    });
  }
}
