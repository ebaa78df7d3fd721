// Stand-in of an engine of a plain service, as PROTOCOL.md tells: slots, a short queue, rejections that say so,
// its own registration in the store. What it does with a request that it runs is given by the case.
import {createServer} from 'node:http';

export class Engine {
  runs = [];
  running = 0;
  queue = [];
  sequence = 0;
  state = 'ready';

  constructor({id, service, zone, slots = 6, heartbeatMs = 1200, store, run}) {
    Object.assign(this, {id, service, zone, slots, heartbeatMs, store, run});
    this.server = createServer(
      (request, response) => void this.receive(request, response),
    );
    this.server.keepAliveTimeout = 15_000;
  }

  async listen(ip) {
    await new Promise(resolve => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
    this.bornAtMs = Date.now();
    this.beat();
    this.timer = setInterval(() => this.beat(), this.heartbeatMs);
  }

  beat() {
    this.sequence += 1;
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      'cold-left-ms': 0,
      sequence: this.sequence,
      born: this.bornAtMs,
    });
  }

  /** Leaves without having reported `draining`: the entry is removed, and the engine serves on. */
  withdraw() {
    clearInterval(this.timer);
    this.store.remove(`servers/${this.id}`);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  load() {
    return {
      'x-instance-id': this.id,
      'x-instance-load': `${this.running},${this.queue.length},${this.slots}`,
    };
  }

  async receive(request, response) {
    const chunks = [];
    request.on('error', () => {});
    response.on('error', () => {});
    for await (const chunk of request) chunks.push(chunk);
    const id = request.headers['x-attempt-id'];
    if (request.url === '/healthz')
      return void response.writeHead(200, this.load()).end();
    if (request.url === '/report')
      return void response.writeHead(200).end('{}');
    const expected = request.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id)
      return void response.writeHead(421, this.load()).end();
    const rejected = {...this.load(), 'x-not-executed': '1'};
    if (id === undefined) return void response.writeHead(400, rejected).end();
    const echo = {...rejected, 'x-attempt-id': id};
    if (this.running >= this.slots && this.queue.length >= 4 * this.slots) {
      return void response.writeHead(503, echo).end();
    }
    if (this.running >= this.slots)
      await new Promise(resolve => this.queue.push(resolve));
    if (response.destroyed) return void this.queue.shift()?.();
    this.running += 1;
    const run = {
      id,
      engine: this.id,
      method: request.method,
      path: request.url,
      atMs: Date.now(),
      end: 'open',
    };
    this.runs.push(run);
    const signature = `${this.id}.${this.runs.length}`;
    const head = {
      ...this.load(),
      'x-attempt-id': id,
      'x-response-signature': signature,
    };
    // Most engines drop a request when its connection closes.
    response.on('close', () => {
      if (run.end === 'open')
        run.end = response.writableFinished
          ? 'complete'
          : 'dropped: the connection closed';
      run.endAtMs = Date.now();
    });
    await this.run({
      request,
      response,
      body: Buffer.concat(chunks),
      head,
      run,
      engine: this,
    });
    this.running -= 1;
    this.queue.shift()?.();
  }
}
