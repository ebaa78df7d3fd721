import type {EngineChange, EngineRecord} from '../../core/fleet/types.js';
import type {ServingEngine} from './serving_engine.js';
import type {VmId} from '../../core/ids/index.js';
import {storeVersion} from '../../core/store/index.js';

/** Time from an engine's last heartbeat to the removal of its entry from the store. */
const HEARTBEAT_TIMEOUT_MS = 3600;
/** Time after a restore within which running engines write their entries again. */
const MAX_REWRITE_DELAY_MS = 2000;

interface EngineRegistryOptions {
  readonly engines: ReadonlyMap<VmId, ServingEngine>;
  readonly nowMs: () => number;
  after(delayMs: number, run: () => void): void;
  randomInt(limit: number): number;
  /** What an engine's entry says of its cold time; undefined: nothing. */
  coldLeftMs(vmId: VmId): number | undefined;
  /** Notifies the nodes of a change. */
  notifyNodes(change: EngineChange): void;
}

interface HistoryEntry {
  readonly atMs: number;
  readonly revision: number;
  readonly vmId: VmId;
  readonly record?: EngineRecord;
}

/** Simulated store entries of the engines: removal of a crashed engine is delayed, heartbeats may be dropped, and the store may be restored from a backup. */
export class SimulatedEngineRegistry {
  /** Increases with each restore from a backup. */
  era = 0;
  isUnavailable = false;
  private revision = 1;
  private readonly records = new Map<VmId, EngineRecord>();
  private readonly mutedVms = new Set<VmId>();
  private history: HistoryEntry[] = [];

  constructor(private readonly options: EngineRegistryOptions) {}

  /** Version of the last change. */
  get version(): number {
    return storeVersion.make(this.era, this.revision)!;
  }

  /** Returns the currently listed engines, as a node reads them. */
  changes(): EngineChange[] {
    return [...this.records.values()].map(record => {
      // Entries restored from the backup are read with the new era.
      const written = storeVersion.revisionOf(record.revision);
      const revision = storeVersion.make(this.era, written)!;
      return {vmId: record.vmId, revision, engine: {...record, revision}};
    });
  }

  publishRecord(vmId: VmId): void {
    const engine = this.options.engines.get(vmId)!;
    if (!engine.isUp || this.mutedVms.has(vmId)) return;
    this.publish(vmId, engine);
  }

  /** Removes a crashed engine's entry when its heartbeats have timed out, unless it has restarted. */
  expire(vmId: VmId): void {
    const engine = this.options.engines.get(vmId)!;
    const {bornAtMs} = engine.record;
    this.options.after(HEARTBEAT_TIMEOUT_MS, () => {
      if (engine.isUp && engine.record.bornAtMs !== bornAtMs) return;
      this.publish(vmId, undefined);
    });
  }

  /** Drops the heartbeats of a running engine for `forMs`, after which it is listed again. */
  dropHeartbeats(vmId: VmId, forMs: number): void {
    const engine = this.options.engines.get(vmId)!;
    this.mutedVms.add(vmId);
    this.options.after(HEARTBEAT_TIMEOUT_MS, () => {
      if (this.mutedVms.has(vmId)) this.publish(vmId, undefined);
    });
    this.options.after(forMs, () => {
      this.mutedVms.delete(vmId);
      if (engine.isUp) this.publish(vmId, engine);
    });
  }

  /** Restores the state of `ageMs` ago; running engines write their entries again, entries of others expire. */
  restoreFromBackup(ageMs: number): void {
    const {nowMs, engines, after, randomInt} = this.options;
    const restored = this.history.filter(({atMs}) => atMs <= nowMs() - ageMs);
    this.isUnavailable = false;
    this.era += 1;
    this.history = restored;
    this.revision = restored.at(-1)?.revision ?? 1;
    this.records.clear();
    for (const {vmId, record} of restored) {
      if (record) this.records.set(vmId, record);
      else this.records.delete(vmId);
    }
    for (const [vmId, engine] of engines) {
      const {bornAtMs} = engine.record;
      if (engine.isUp) {
        after(randomInt(MAX_REWRITE_DELAY_MS), () => {
          const isSameProcess = engine.record.bornAtMs === bornAtMs;
          if (isSameProcess) this.publishRecord(vmId);
        });
      } else this.expire(vmId);
    }
  }

  private publish(vmId: VmId, engine: ServingEngine | undefined): void {
    if (this.isUnavailable) {
      // The write, or the removal, is retried until the store is available.
      this.options.after(100, () => {
        if (engine) this.publishRecord(vmId);
        else if (!this.options.engines.get(vmId)!.isUp) this.expire(vmId);
      });
      return;
    }
    this.revision += 1;
    const {revision, version} = this;
    if (engine) {
      const sequence = engine.record.sequence + 1;
      const coldLeftMs = this.options.coldLeftMs(vmId);
      engine.record = {
        ...engine.record,
        sequence,
        revision: version,
        ...(coldLeftMs === undefined ? {} : {coldLeftMs}),
      };
      this.records.set(vmId, engine.record);
    } else this.records.delete(vmId);
    const record = engine?.record;
    const atMs = this.options.nowMs();
    this.history.push({atMs, revision, vmId, ...(record && {record})});
    const change = {vmId, revision: version, ...(record && {engine: record})};
    this.options.notifyNodes(change);
  }
}
