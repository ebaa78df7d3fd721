import type {
  StoreEntry,
  StoreOperation,
  StoreOutcome,
  VmRecord,
} from '../core/store/types.js';
import {makeId, type LeaseId} from '../core/ids/index.js';

interface Lease {
  readonly ttlMs: number;
  expiresAtMs: number;
  readonly keys: Set<string>;
}

interface PendingWatch {
  readonly prefix: string;
  readonly sinceVersion: number;
  readonly deadlineMs: number;
  readonly answer: (outcome: StoreOutcome) => void;
}

type OperationOf<K extends StoreOperation['kind']> = Extract<
  StoreOperation,
  {kind: K}
>;

const MAX_VALUE_BYTES = 1024 * 1024;
const DEFAULT_LIST_LIMIT = 1000;
const WEIGHT_RETRY_MS = 1000;

/**
 * In-memory implementation of the platform's service: versions, compare-and-swap,
 * leases, watches, the VM list and the weight-store limit. Each call takes the
 * current time, so that the HTTP stand-in and virtual time can both use it.
 */
export class MemoryPlatform {
  private readonly entries = new Map<string, StoreEntry>();
  /** Versions at which keys were removed, for watches. */
  private readonly removed = new Map<string, number>();
  private readonly leases = new Map<LeaseId, Lease>();
  private readonly pendingWatches = new Set<PendingWatch>();
  private vms: readonly VmRecord[] = [];
  private version = 0;
  private leaseCounter = 0;
  private weightTokens: number;
  private weightRefilledAtMs = 0;
  /** Number of calls by kind since the start. */
  readonly calls = new Map<StoreOperation['kind'], number>();

  /** @param weightTokensPerSecond Rate limit of the weight store, and its burst size. */
  constructor(private readonly weightTokensPerSecond = 4) {
    this.weightTokens = weightTokensPerSecond;
  }

  /** Replaces the VM list. */
  setVms(vms: readonly VmRecord[]): void {
    this.vms = vms;
  }

  /** Returns the VM list as last set. */
  listVms(): readonly VmRecord[] {
    return this.vms;
  }

  /** Returns all entries under a prefix, sorted by key. */
  list(prefix: string): StoreEntry[] {
    return [...this.entries.values()]
      .filter(entry => entry.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Performs an operation; `answer` is called once, synchronously unless a watch waits for a change. */
  call(
    operation: StoreOperation,
    nowMs: number,
    answer: (outcome: StoreOutcome) => void,
  ): void {
    this.advance(nowMs);
    this.calls.set(operation.kind, (this.calls.get(operation.kind) ?? 0) + 1);
    if (operation.kind === 'watch') this.watch(operation, nowMs, answer);
    else answer(this.perform(operation, nowMs));
  }

  /** Expires leases and times out watches that are due. */
  advance(nowMs: number): void {
    for (const [leaseId, lease] of this.leases) {
      if (lease.expiresAtMs <= nowMs) this.endLease(leaseId);
    }
    for (const pending of this.pendingWatches) {
      if (pending.deadlineMs > nowMs) continue;
      this.pendingWatches.delete(pending);
      pending.answer({kind: 'ok', entries: [], version: this.version});
    }
  }

  private perform(
    operation: Exclude<StoreOperation, {kind: 'watch'}>,
    nowMs: number,
  ): StoreOutcome {
    switch (operation.kind) {
      case 'get': {
        const entry = this.entries.get(operation.key);
        return {
          kind: 'ok',
          entries: entry ? [entry] : [],
          version: this.version,
        };
      }
      case 'compareAndSwap':
        return this.compareAndSwap(operation);
      case 'list':
        return this.listPage(operation);
      case 'grantLease':
        return this.grantLease(operation.ttlMs, nowMs);
      case 'keepAlive':
        return this.keepAlive(operation.leaseId, nowMs);
      case 'revokeLease':
        this.endLease(operation.leaseId);
        return {kind: 'ok'};
      case 'listVms':
        return {kind: 'ok', vms: this.vms, version: this.version};
      case 'takeWeightToken':
        return this.takeWeightTokens(operation.count, nowMs);
    }
  }

  private compareAndSwap(
    operation: OperationOf<'compareAndSwap'>,
  ): StoreOutcome {
    const {key, expectedVersion, value, leaseId} = operation;
    const current = this.entries.get(key);
    if ((current?.version ?? 0) !== expectedVersion) {
      return {kind: 'conflict', ...(current && {current})};
    }
    if (leaseId !== undefined && !this.leases.has(leaseId)) {
      return {kind: 'conflict'};
    }
    if (value !== null && Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      return {kind: 'unavailable'};
    }
    if (value === null) this.remove(key);
    else this.write(key, value, leaseId);
    return {kind: 'ok', version: this.version};
  }

  private write(key: string, value: string, leaseId?: LeaseId): void {
    this.version += 1;
    const old = this.entries.get(key);
    if (old?.leaseId) this.leases.get(makeId(old.leaseId))?.keys.delete(key);
    if (leaseId) this.leases.get(leaseId)?.keys.add(key);
    this.removed.delete(key);
    this.entries.set(key, {
      key,
      value,
      version: this.version,
      ...(leaseId && {leaseId}),
    });
    this.notifyWatches(key);
  }

  private remove(key: string): void {
    if (!this.entries.delete(key)) return;
    this.version += 1;
    this.removed.set(key, this.version);
    this.notifyWatches(key);
  }

  private listPage(operation: OperationOf<'list'>): StoreOutcome {
    const {prefix, afterKey = '', limit = DEFAULT_LIST_LIMIT} = operation;
    const entries = this.list(prefix).filter(entry => entry.key > afterKey);
    return {
      kind: 'ok',
      entries: entries.slice(0, limit),
      version: this.version,
    };
  }

  private grantLease(ttlMs: number, nowMs: number): StoreOutcome {
    this.leaseCounter += 1;
    const leaseId = makeId<LeaseId>(`lease-${this.leaseCounter}`);
    const expiresAtMs = nowMs + ttlMs;
    this.leases.set(leaseId, {ttlMs, expiresAtMs, keys: new Set()});
    return {kind: 'ok', leaseId};
  }

  private keepAlive(leaseId: LeaseId, nowMs: number): StoreOutcome {
    const lease = this.leases.get(leaseId);
    if (!lease) return {kind: 'conflict'};
    lease.expiresAtMs = nowMs + lease.ttlMs;
    return {kind: 'ok', leaseId};
  }

  private endLease(leaseId: LeaseId): void {
    const lease = this.leases.get(leaseId);
    this.leases.delete(leaseId);
    for (const key of lease?.keys ?? []) this.remove(key);
  }

  private takeWeightTokens(count: number, nowMs: number): StoreOutcome {
    const elapsedMs = nowMs - this.weightRefilledAtMs;
    this.weightRefilledAtMs = nowMs;
    const refilled =
      this.weightTokens + (elapsedMs * this.weightTokensPerSecond) / 1000;
    this.weightTokens = Math.min(this.weightTokensPerSecond, refilled);
    const granted = Math.min(count, Math.floor(this.weightTokens));
    this.weightTokens -= granted;
    const retryAfterMs = WEIGHT_RETRY_MS / this.weightTokensPerSecond;
    return {kind: 'ok', granted, ...(granted < count && {retryAfterMs})};
  }

  private watch(
    operation: OperationOf<'watch'>,
    nowMs: number,
    answer: (outcome: StoreOutcome) => void,
  ): void {
    const {prefix, sinceVersion, timeoutMs} = operation;
    const entries = this.changesSince(prefix, sinceVersion);
    if (entries.length > 0) {
      answer({kind: 'ok', entries, version: this.version});
      return;
    }
    const deadlineMs = nowMs + timeoutMs;
    this.pendingWatches.add({prefix, sinceVersion, deadlineMs, answer});
  }

  private changesSince(prefix: string, sinceVersion: number): StoreEntry[] {
    const written = this.list(prefix).filter(e => e.version > sinceVersion);
    const deleted = [...this.removed]
      .filter(([key, at]) => key.startsWith(prefix) && at > sinceVersion)
      .map(([key, version]) => ({key, value: '', version}));
    return [...written, ...deleted].sort((a, b) => a.version - b.version);
  }

  private notifyWatches(key: string): void {
    for (const pending of this.pendingWatches) {
      if (!key.startsWith(pending.prefix)) continue;
      this.pendingWatches.delete(pending);
      const entries = this.changesSince(pending.prefix, pending.sinceVersion);
      pending.answer({kind: 'ok', entries, version: this.version});
    }
  }
}
