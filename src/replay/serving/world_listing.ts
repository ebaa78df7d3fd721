import type {EngineChange, EngineRecord} from '../../core/fleet/types.js';
import type {ServingEngine} from './serving_engine.js';
import type {VmId} from '../../core/ids/index.js';
import {storeVersion} from '../../core/store/index.js';

/** Time from the last sign of life of an engine to its removal from the store. */
const EXPIRE_MS = 3600;
/** Engines that live have written their entries again by then. */
const WRITE_AGAIN_MS = 2000;

interface ListingOptions {
  readonly engines: ReadonlyMap<VmId, ServingEngine>;
  readonly nowMs: () => number;
  after(delayMs: number, run: () => void): void;
  below(limit: number): number;
  /** Tells the nodes of a change. */
  tell(change: EngineChange): void;
}

interface WrittenEntry {
  readonly atMs: number;
  readonly revision: number;
  readonly vmId: VmId;
  readonly record?: EngineRecord;
}

/** The engines as the store lists them: it hears of losses late, of some engines not at all, and may come back from a copy. */
export class WorldListing {
  /** Rises with each return from a copy. */
  era = 0;
  isAway = false;
  private revision = 1;
  private readonly listed = new Map<VmId, EngineRecord>();
  private readonly hidden = new Set<VmId>();
  private history: WrittenEntry[] = [];

  constructor(private readonly options: ListingOptions) {}

  /** Of the last change. */
  get version(): number {
    return storeVersion.make(this.era, this.revision)!;
  }

  /** What a node reads that lists the engines now. */
  changes(): EngineChange[] {
    return [...this.listed.values()].map(record => {
      // Entries that a copy brought back are read in the new era.
      const written = storeVersion.revisionOf(record.revision);
      const revision = storeVersion.make(this.era, written)!;
      return {vmId: record.vmId, revision, engine: {...record, revision}};
    });
  }

  noteChange(vmId: VmId): void {
    const engine = this.options.engines.get(vmId)!;
    if (!engine.isUp || this.hidden.has(vmId)) return;
    this.publish(vmId, engine);
  }

  /** An engine that has ended without a word is removed when its time is over. */
  expire(vmId: VmId): void {
    const engine = this.options.engines.get(vmId)!;
    const {bornAtMs} = engine.record;
    this.options.after(EXPIRE_MS, () => {
      if (engine.isUp && engine.record.bornAtMs !== bornAtMs) return;
      this.publish(vmId, undefined);
    });
  }

  /** An engine that lives on is not heard for a while, and listed again then. */
  hide(vmId: VmId, forMs: number): void {
    const engine = this.options.engines.get(vmId)!;
    this.hidden.add(vmId);
    this.options.after(EXPIRE_MS, () => {
      if (this.hidden.has(vmId)) this.publish(vmId, undefined);
    });
    this.options.after(forMs, () => {
      this.hidden.delete(vmId);
      if (engine.isUp) this.publish(vmId, engine);
    });
  }

  /** Comes back as it was `ageMs` ago; engines that live write their entries again, others lapse. */
  comeBack(ageMs: number): void {
    const {nowMs, engines, after, below} = this.options;
    const kept = this.history.filter(({atMs}) => atMs <= nowMs() - ageMs);
    this.isAway = false;
    this.era += 1;
    this.history = kept;
    this.revision = kept.at(-1)?.revision ?? 1;
    this.listed.clear();
    for (const {vmId, record} of kept) {
      if (record) this.listed.set(vmId, record);
      else this.listed.delete(vmId);
    }
    for (const [vmId, engine] of engines) {
      const {bornAtMs} = engine.record;
      if (engine.isUp) {
        after(below(WRITE_AGAIN_MS), () => {
          const isSameLife = engine.record.bornAtMs === bornAtMs;
          if (isSameLife) this.noteChange(vmId);
        });
      } else this.expire(vmId);
    }
  }

  private publish(vmId: VmId, engine: ServingEngine | undefined): void {
    if (this.isAway) {
      // An engine tries until the store takes its entry.
      this.options.after(100, () => {
        if (engine) this.noteChange(vmId);
        else if (!this.options.engines.get(vmId)!.isUp) this.expire(vmId);
      });
      return;
    }
    this.revision += 1;
    const {revision, version} = this;
    if (engine) {
      const sequence = engine.record.sequence + 1;
      engine.record = {...engine.record, sequence, revision: version};
      this.listed.set(vmId, engine.record);
    } else this.listed.delete(vmId);
    const record = engine?.record;
    const atMs = this.options.nowMs();
    this.history.push({atMs, revision, vmId, ...(record && {record})});
    const told = {vmId, revision: version, ...(record && {engine: record})};
    this.options.tell(told);
  }
}
