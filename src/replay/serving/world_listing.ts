import type {EngineChange} from '../../core/fleet/types.js';
import type {ServingEngine} from './serving_engine.js';
import type {VmId} from '../../core/ids/index.js';

/** Time from the last sign of life of an engine to its removal from the store. */
const EXPIRE_MS = 3600;

interface ListingOptions {
  readonly engines: ReadonlyMap<VmId, ServingEngine>;
  after(delayMs: number, run: () => void): void;
  /** Tells the nodes of a change. */
  tell(change: EngineChange): void;
}

/** The engines as the store lists them: it hears of losses late, and of some engines not at all. */
export class WorldListing {
  revision = 1;
  private readonly listed = new Set<VmId>();
  private readonly hidden = new Set<VmId>();

  constructor(private readonly options: ListingOptions) {}

  /** What a node reads that lists the engines now. */
  changes(): EngineChange[] {
    return [...this.options.engines.values()]
      .filter(({record}) => this.listed.has(record.vmId))
      .map(({record}) => ({
        vmId: record.vmId,
        revision: record.revision,
        engine: record,
      }));
  }

  noteChange(vmId: VmId): void {
    const engine = this.options.engines.get(vmId)!;
    if (!engine.isUp || this.hidden.has(vmId)) return;
    this.listed.add(vmId);
    this.publish(vmId, engine);
  }

  /** An engine that has ended without a word is removed when its time is over. */
  expire(vmId: VmId): void {
    const engine = this.options.engines.get(vmId)!;
    const {bornAtMs} = engine.record;
    this.options.after(EXPIRE_MS, () => {
      if (engine.isUp && engine.record.bornAtMs !== bornAtMs) return;
      this.listed.delete(vmId);
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

  private publish(vmId: VmId, engine: ServingEngine | undefined): void {
    this.revision += 1;
    const {revision} = this;
    if (engine) engine.record = {...engine.record, revision};
    this.options.tell({vmId, revision, ...(engine && {engine: engine.record})});
  }
}
