import {createServer} from 'node:http';
import type {Socket} from 'node:net';
import type {IncomingMessage, ServerResponse} from 'node:http';

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly lease: number;
}

interface Change {
  readonly key: string;
  readonly revision: number;
  readonly item?: Item;
}

interface TxnBody {
  readonly precondition?: readonly {key: string; revision: number}[];
  readonly write?: readonly {key: string; value: string; lease?: number}[];
  readonly remove?: readonly string[];
}

/** Contents of the store at the time of a backup. */
interface StoreBackup {
  readonly items: ReadonlyMap<string, Item>;
  readonly revision: number;
  readonly leaseCount: number;
  readonly leaseTtlsMs: ReadonlyMap<number, number>;
}

const PAGE_ITEMS = 3;

/** In-memory stand-in of the platform's key-value service with its published HTTP interface. Tests inject faults. */
export class KvStandin {
  /** If set, every call is answered with this status. */
  failureStatus?: number;
  /** If set, writes the response body to the connection of each call itself. */
  respondRaw?: (socket: Socket) => void;
  /** Whether POST calls take effect without a response. */
  isDroppingResponses = false;
  callCount = 0;
  /** Number of watch calls by prefix. */
  readonly watchCounts = new Map<string, number>();
  /** Increases with each restore from a backup. */
  era = 1;
  private readonly items = new Map<string, Item>();
  private changes: Change[] = [];
  private revision = 1;
  private leaseCount = 0;
  private readonly leaseTimers = new Map<number, NodeJS.Timeout>();
  private readonly leaseTtlsMs = new Map<number, number>();
  private readonly watchWakers = new Set<() => void>();
  private readonly server = createServer((message, response) => {
    void this.handleRequest(message, response);
  });

  get address(): string {
    const {port} = this.server.address() as {port: number};
    return `127.0.0.1:${port}`;
  }

  listen(): Promise<string> {
    return new Promise(resolve => {
      this.server.listen(0, '127.0.0.1', () => resolve(this.address));
    });
  }

  close(): void {
    for (const timer of this.leaseTimers.values()) clearTimeout(timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes an entry without a lease, as the operator or an engine does. */
  put(key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.write(key, Buffer.from(text).toString('base64'), 0);
  }

  remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.recordChange({key, revision: this.revision});
  }

  createBackup(): StoreBackup {
    return {
      items: new Map(this.items),
      revision: this.revision,
      leaseCount: this.leaseCount,
      leaseTtlsMs: new Map(
        [...this.leaseTimers.keys()].map(lease => [
          lease,
          this.leaseTtlsMs.get(lease)!,
        ]),
      ),
    };
  }

  /** Restores the state of a backup: later writes and leases are lost. */
  restoreBackup(backup: StoreBackup): void {
    this.era += 1;
    this.revision = backup.revision;
    this.leaseCount = backup.leaseCount;
    this.items.clear();
    for (const [key, item] of backup.items) this.items.set(key, item);
    for (const timer of this.leaseTimers.values()) clearTimeout(timer);
    this.leaseTimers.clear();
    for (const [lease, ttlMs] of backup.leaseTtlsMs)
      this.startLease(lease, ttlMs);
    this.clearHistory();
  }

  clearHistory(): void {
    this.changes = [];
    for (const wake of [...this.watchWakers]) wake();
  }

  private async handleRequest(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.callCount += 1;
    let text = '';
    for await (const chunk of message) text += String(chunk);
    if (this.respondRaw) {
      message.socket.write(
        'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
      );
      this.respondRaw(message.socket);
      return;
    }
    if (this.failureStatus !== undefined) {
      response.writeHead(this.failureStatus, this.eraHeader()).end('{}');
      return;
    }
    const url = new URL(message.url!, 'http://store');
    const answer = await this.answer(message.method!, url, text);
    if (this.isDroppingResponses && message.method === 'POST') {
      message.socket.destroy();
      return;
    }
    response.writeHead(answer.status, {
      'content-type': 'application/json',
      ...this.eraHeader(),
    });
    response.end(JSON.stringify(answer.body));
  }

  private eraHeader(): Record<string, string> {
    return {'store-era': String(this.era)};
  }

  private async answer(
    method: string,
    url: URL,
    text: string,
  ): Promise<{status: number; body: unknown}> {
    const {searchParams, pathname} = url;
    const prefix = searchParams.get('path-prefix') ?? '';
    if (pathname === '/kv-key') {
      const item = this.items.get(searchParams.get('key')!);
      if (!item) return {status: 404, body: {}};
      return {status: 200, body: {...item, at: this.revision}};
    }
    if (pathname === '/kv-range') {
      const after = searchParams.get('after') ?? '';
      const found = [...this.items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      const items = found.slice(0, PAGE_ITEMS);
      const hasMore = found.length > items.length;
      return {
        status: 200,
        body: {items, 'has-more': hasMore, at: this.revision},
      };
    }
    if (pathname === '/kv-watch') return this.watch(prefix, searchParams);
    if (pathname === '/kv-txn')
      return this.runTransaction(JSON.parse(text) as TxnBody);
    if (pathname === '/kv-lease') {
      const ttlMs = (JSON.parse(text) as {'ttl-ms': number})['ttl-ms'];
      this.leaseCount += 1;
      this.startLease(this.leaseCount, ttlMs);
      return {status: 200, body: {lease: this.leaseCount, 'ttl-ms': ttlMs}};
    }
    const lease = Number(pathname.split('/').at(-1));
    if (!this.leaseTimers.has(lease)) return {status: 404, body: {}};
    if (method === 'DELETE') this.endLease(lease);
    else this.startLease(lease, this.leaseTtlsMs.get(lease)!);
    return {status: 200, body: {}};
  }

  private async watch(
    prefix: string,
    parameters: URLSearchParams,
  ): Promise<{status: number; body: unknown}> {
    const after = Number(parameters.get('after'));
    this.watchCounts.set(prefix, (this.watchCounts.get(prefix) ?? 0) + 1);
    const waitMs = Number(parameters.get('wait-ms'));
    const find = () =>
      this.changes.filter(
        ({key, revision}) => key.startsWith(prefix) && revision > after,
      );
    if (after > this.revision) return {status: 410, body: {}};
    if (find().length === 0) {
      await new Promise<void>(resolve => {
        const wake = () => {
          this.watchWakers.delete(wake);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        this.watchWakers.add(wake);
      });
    }
    if (after > this.revision) return {status: 410, body: {}};
    const oldest = this.changes[0]?.revision ?? this.revision + 1;
    if (after + 1 < oldest && after < this.revision) {
      return {status: 410, body: {}};
    }
    const events = find().map(
      ({key, revision, item}) => item ?? {key, revision, deleted: true},
    );
    return {status: 200, body: {events, at: this.revision}};
  }

  private runTransaction(body: TxnBody): {status: number; body: unknown} {
    const conditions = body.precondition ?? [];
    const areConditionsMet = conditions.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!areConditionsMet) {
      const items = conditions.flatMap(({key}) => this.items.get(key) ?? []);
      return {status: 412, body: {items}};
    }
    for (const {key, value, lease} of body.write ?? []) {
      if (lease && !this.leaseTimers.has(lease)) return {status: 404, body: {}};
      this.write(key, value, lease ?? 0);
    }
    for (const key of body.remove ?? []) this.remove(key);
    return {status: 200, body: {revision: this.revision}};
  }

  private write(key: string, value: string, lease: number): void {
    this.revision += 1;
    const item = {key, value, revision: this.revision, lease};
    this.items.set(key, item);
    this.recordChange({key, revision: this.revision, item});
  }

  private recordChange(change: Change): void {
    this.changes.push(change);
    for (const wake of [...this.watchWakers]) wake();
  }

  private startLease(lease: number, ttlMs: number): void {
    this.leaseTtlsMs.set(lease, ttlMs);
    clearTimeout(this.leaseTimers.get(lease));
    this.leaseTimers.set(
      lease,
      setTimeout(() => this.endLease(lease), ttlMs),
    );
  }

  private endLease(lease: number): void {
    clearTimeout(this.leaseTimers.get(lease));
    this.leaseTimers.delete(lease);
    for (const item of [...this.items.values()]) {
      if (item.lease === lease) this.remove(item.key);
    }
  }
}
