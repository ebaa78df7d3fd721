import {createServer} from 'node:http';
import {once} from 'node:events';

/**
 * Stand-in of the platform's metadata store, by PROTOCOL.md: items, ranges,
 * watches, transactions and leases. Each machine has an address of its own here,
 * so that the store can turn single machines away while it serves the others.
 */
export class Store {
  constructor() {
    this.items = new Map();
    this.changes = [];
    this.revision = 100;
    this.leases = new Map();
    this.leaseCount = 77_000;
    this.waiting = new Set();
    this.doors = [];
    this.onCall = () => {};
  }

  /** Opens an address for one machine; `mode` of the result is 'serve', 'silent' or 'busy'. */
  async open(host, name) {
    const door = {name, mode: 'serve', idleMs: 75_000};
    door.server = createServer((message, response) =>
      this.#handle(door, message, response),
    );
    door.server.keepAliveTimeout = door.idleMs;
    door.sockets = new Set();
    door.server.on('connection', socket => {
      door.sockets.add(socket);
      socket.once('close', () => door.sockets.delete(socket));
    });
    door.server.listen(0, host);
    await once(door.server, 'listening');
    door.address = `${host}:${door.server.address().port}`;
    this.doors.push(door);
    return door;
  }

  /** All open connections go silent for good, without a reset; new ones work. Returns how many. */
  muteConnections() {
    let count = 0;
    for (const {sockets} of this.doors) {
      for (const socket of sockets) {
        socket.isMute = true;
        count += 1;
      }
    }
    return count;
  }

  close() {
    for (const lease of this.leases.values()) clearTimeout(lease.timer);
    for (const door of this.doors) {
      door.server.close();
      door.server.closeAllConnections();
    }
  }

  /** Writes as the operator or an engine does; returns the revision, which is the acknowledgement. */
  put(key, value) {
    return this.#write(
      key,
      Buffer.from(JSON.stringify(value)).toString('base64'),
      0,
    );
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.#record({key, revision: this.revision, deleted: true});
  }

  #write(key, value, lease) {
    this.revision += 1;
    const {revision} = this;
    const created = this.items.get(key)?.created ?? revision;
    this.items.set(key, {key, value, revision, created, lease});
    this.#record(this.items.get(key));
    return revision;
  }

  #record(change) {
    this.changes.push(change);
    for (const wake of [...this.waiting]) wake();
  }

  async #handle(door, message, response) {
    let text = '';
    for await (const chunk of message) text += chunk;
    const url = new URL(message.url, 'http://store');
    this.onCall(door, message.method, url);
    if (door.mode === 'silent' || message.socket.isMute) return;
    if (door.mode === 'busy') {
      response.writeHead(503).end();
      return;
    }
    const {status, body} = await this.#answer(message.method, url, text);
    // What is due while the machine is cut off does not reach it.
    if (door.mode === 'silent' || message.socket.isMute) return;
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  }

  async #answer(method, {pathname, searchParams}, text) {
    const prefix = searchParams.get('path-prefix') ?? '';
    if (pathname === '/kv-key') {
      const item = this.items.get(searchParams.get('key'));
      if (!item) return {status: 404, body: {at: this.revision}};
      return {status: 200, body: {...item, at: this.revision}};
    }
    if (pathname === '/kv-range') {
      const after = searchParams.get('after') ?? '';
      const found = [...this.items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      const items = found.slice(0, 500);
      const hasMore = found.length > items.length;
      return {
        status: 200,
        body: {items, 'has-more': hasMore, at: this.revision},
      };
    }
    if (pathname === '/kv-watch') {
      const after = Number(searchParams.get('after'));
      const waitMs = Math.min(30_000, Number(searchParams.get('wait-ms')));
      const find = () =>
        this.changes.filter(
          ({key, revision}) => key.startsWith(prefix) && revision > after,
        );
      const untilMs = Date.now() + waitMs;
      while (find().length === 0 && Date.now() < untilMs) {
        await this.#awaitChange(untilMs - Date.now());
      }
      return {status: 200, body: {events: find(), at: this.revision}};
    }
    if (pathname === '/kv-txn') return this.#transact(JSON.parse(text));
    if (pathname === '/kv-lease') {
      const ttlMs = JSON.parse(text)['ttl-ms'];
      this.leaseCount += 1;
      this.leases.set(this.leaseCount, {ttlMs});
      this.#renew(this.leaseCount);
      return {status: 200, body: {lease: this.leaseCount, 'ttl-ms': ttlMs}};
    }
    const lease = Number(pathname.split('/').at(-1));
    if (!this.leases.has(lease)) return {status: 404, body: {}};
    if (method === 'DELETE') this.#endLease(lease);
    else this.#renew(lease);
    return {status: 200, body: {'ttl-ms': this.leases.get(lease)?.ttlMs ?? 0}};
  }

  #awaitChange(ms) {
    return new Promise(resolve => {
      const wake = () => {
        this.waiting.delete(wake);
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(1, ms));
      this.waiting.add(wake);
    });
  }

  #transact({precondition = [], write = [], remove = []}) {
    const isMet = precondition.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = precondition.flatMap(({key}) => this.items.get(key) ?? []);
      return {status: 412, body: {items}};
    }
    if (write.some(({lease}) => lease && !this.leases.has(lease))) {
      return {status: 404, body: {}};
    }
    for (const {key, value, lease} of write)
      this.#write(key, value, lease ?? 0);
    for (const key of remove) this.remove(key);
    return {status: 200, body: {revision: this.revision}};
  }

  #renew(lease) {
    const entry = this.leases.get(lease);
    clearTimeout(entry.timer);
    entry.timer = setTimeout(() => this.#endLease(lease), entry.ttlMs);
  }

  #endLease(lease) {
    clearTimeout(this.leases.get(lease)?.timer);
    this.leases.delete(lease);
    for (const {key, lease: of} of [...this.items.values()]) {
      if (of === lease) this.remove(key);
    }
  }
}
