// Stand-in of the platform's metadata store: the calls of PROTOCOL.md, in memory, linearizable, without faults.
import {createServer} from 'node:http';

const PAGE_ITEMS = 500;

export class Store {
  items = new Map();
  changes = [];
  revision = 100;
  leases = new Map();
  leaseCount = 1000;
  wakers = new Set();
  server = createServer(
    (request, response) => void this.answer(request, response),
  );

  async listen(ip) {
    await new Promise(resolve => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
    return this.address;
  }

  close() {
    for (const {timer} of this.leases.values()) clearTimeout(timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** A write of the operator or of an engine. */
  put(key, value) {
    return this.write(
      key,
      Buffer.from(JSON.stringify(value)).toString('base64'),
      0,
    );
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.record({key, revision: this.revision, deleted: true});
  }

  write(key, value, lease) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = {key, value, revision: this.revision, created, lease};
    this.items.set(key, item);
    this.record(item);
    return this.revision;
  }

  record(change) {
    this.changes.push(change);
    for (const wake of [...this.wakers]) wake();
  }

  async answer(request, response) {
    let text = '';
    for await (const chunk of request) text += chunk;
    const url = new URL(request.url, 'http://store');
    const [status, body] = await this.call(request.method, url, text);
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  }

  async call(method, {pathname, searchParams}, text) {
    const prefix = searchParams.get('path-prefix') ?? '';
    if (pathname === '/kv-key') {
      const item = this.items.get(searchParams.get('key'));
      return item ? [200, {...item, at: this.revision}] : [404, {}];
    }
    if (pathname === '/kv-range') {
      const after = searchParams.get('after') ?? '';
      const found = [...this.items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      const items = found.slice(0, PAGE_ITEMS);
      return [
        200,
        {items, 'has-more': found.length > items.length, at: this.revision},
      ];
    }
    if (pathname === '/kv-watch') {
      const after = Number(searchParams.get('after'));
      const find = () =>
        this.changes.filter(
          one => one.key.startsWith(prefix) && one.revision > after,
        );
      const endAt = Date.now() + Number(searchParams.get('wait-ms'));
      while (find().length === 0 && Date.now() < endAt)
        await this.nextChange(endAt - Date.now());
      return [200, {events: find(), at: this.revision}];
    }
    if (pathname === '/kv-txn') return this.transact(JSON.parse(text));
    if (pathname === '/kv-lease') {
      this.leaseCount += 1;
      const ttlMs = JSON.parse(text)['ttl-ms'];
      this.startLease(this.leaseCount, ttlMs);
      return [200, {lease: this.leaseCount, 'ttl-ms': ttlMs}];
    }
    const id = Number(pathname.split('/').at(-1));
    const lease = this.leases.get(id);
    if (!lease) return [404, {}];
    if (method === 'DELETE') this.endLease(id);
    else this.startLease(id, lease.ttlMs);
    return [200, {'ttl-ms': lease.ttlMs}];
  }

  nextChange(ms) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.wakers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(1, ms));
      this.wakers.add(wake);
    });
  }

  transact({precondition = [], write = [], remove = []}) {
    const holds = precondition.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds)
      return [
        412,
        {items: precondition.flatMap(({key}) => this.items.get(key) ?? [])},
      ];
    if (write.some(({lease}) => lease && !this.leases.has(lease)))
      return [404, {}];
    for (const {key, value, lease} of write) this.write(key, value, lease ?? 0);
    for (const key of remove) this.remove(key);
    return [200, {revision: this.revision}];
  }

  startLease(id, ttlMs) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.set(id, {
      ttlMs,
      timer: setTimeout(() => this.endLease(id), ttlMs),
    });
  }

  endLease(id) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    for (const {key, lease} of [...this.items.values()])
      if (lease === id) this.remove(key);
  }
}
