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

interface Waiter {
  readonly prefix: string;
  readonly sinceVersion: number;
  readonly untilMs: number;
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
 * The platform's service in memory: versions, compare-and-swap, leases, watches,
 * the VM list and the weight-store limit. Time is given with every call, so that
 * the HTTP stand-in and virtual time both use it.
 */
export class MemoryPlatform {
  private readonly entries = new Map<string, StoreEntry>();
  /** Keys that were removed, for watches. */
  private readonly removed = new Map<string, number>();
  private readonly leases = new Map<LeaseId, Lease>();
  private readonly waiters = new Set<Waiter>();
  private vms: readonly VmRecord[] = [];
  private version = 0;
  private leaseCounter = 0;
  private weightTokens: number;
  private weightFilledAtMs = 0;
  /** Calls by kind since the start. */
  readonly calls = new Map<StoreOperation['kind'], number>();

  /** @param weightTokensPerSecond Rate of the weight store; also its burst. */
  constructor(private readonly weightTokensPerSecond = 4) {
    this.weightTokens = weightTokensPerSecond;
  }

  /** Replaces the VM list. */
  setVms(vms: readonly VmRecord[]): void {
    this.vms = vms;
  }

  /** The VM list as last set. */
  listVms(): readonly VmRecord[] {
    return this.vms;
  }

  /** All entries under a prefix, sorted by key. */
  list(prefix: string): StoreEntry[] {
    return [...this.entries.values()]
      .filter(entry => entry.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Performs an operation; `answer` is called once, at once unless a watch waits. */
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

  /** Ends leases and watches whose time has come. */
  advance(nowMs: number): void {
    for (const [leaseId, lease] of this.leases) {
      if (lease.expiresAtMs <= nowMs) this.endLease(leaseId);
    }
    for (const waiter of this.waiters) {
      if (waiter.untilMs > nowMs) continue;
      this.waiters.delete(waiter);
      waiter.answer({kind: 'ok', entries: [], version: this.version});
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
    this.wake(key);
  }

  private remove(key: string): void {
    if (!this.entries.delete(key)) return;
    this.version += 1;
    this.removed.set(key, this.version);
    this.wake(key);
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
    const elapsedMs = nowMs - this.weightFilledAtMs;
    this.weightFilledAtMs = nowMs;
    const filled =
      this.weightTokens + (elapsedMs * this.weightTokensPerSecond) / 1000;
    this.weightTokens = Math.min(this.weightTokensPerSecond, filled);
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
    const untilMs = nowMs + timeoutMs;
    this.waiters.add({prefix, sinceVersion, untilMs, answer});
  }

  private changesSince(prefix: string, sinceVersion: number): StoreEntry[] {
    const written = this.list(prefix).filter(e => e.version > sinceVersion);
    const gone = [...this.removed]
      .filter(([key, at]) => key.startsWith(prefix) && at > sinceVersion)
      .map(([key, version]) => ({key, value: '', version}));
    return [...written, ...gone].sort((a, b) => a.version - b.version);
  }

  private wake(key: string): void {
    for (const waiter of this.waiters) {
      if (!key.startsWith(waiter.prefix)) continue;
      this.waiters.delete(waiter);
      const entries = this.changesSince(waiter.prefix, waiter.sinceVersion);
      waiter.answer({kind: 'ok', entries, version: this.version});
    }
  }
}
