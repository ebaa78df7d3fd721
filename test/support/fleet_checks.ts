import type {DomainDocument} from '../../src/core/replicas/types.js';
import type {EffectOf} from '../../src/core/effects/types.js';
import type {FleetEngine, FleetWorld} from '../../src/replay/fleet/index.js';

/** Longest time in which nodes may not know yet that a VM is lost or leaves. */
const DETECTION_MS = 2000;
/** Longest time in which streams may still run on a replica that lost a VM. */
const MOVE_MS = 5000;

/** Watches the promises about VMs and replicas as the engines themselves see them. */
export class FleetChecks {
  readonly faults: string[] = [];
  readonly stats = {starts: 0, orders: 0};
  private readonly brokenSinceMs = new Map<FleetEngine, number>();
  private readonly sharedSinceMs = new Map<string, number>();
  private readonly highestToken = new Map<FleetEngine, number>();

  constructor(private readonly world: FleetWorld) {
    world.fleet.onStart = leader => this.checkStart(leader);
    world.fleet.onOrder = (engine, order) => this.checkOrder(engine, order);
  }

  /** Looks at documents and engines as they are now. */
  look(): void {
    this.checkDocuments();
    this.noteBroken();
    this.checkShared();
  }

  private report(text: string): void {
    this.faults.push(`${this.world.nowMs}: ${text}`);
  }

  /** The documents name each VM once. */
  private checkDocuments(): void {
    const seen = new Set<string>();
    for (const {value} of this.world.store.platform.list('domains/')) {
      const {replicas} = JSON.parse(value) as DomainDocument;
      for (const vmId of replicas.flatMap(entry => entry.vms)) {
        if (seen.has(vmId))
          this.report(`${vmId} is in two documents' replicas`);
        seen.add(vmId);
      }
    }
  }

  private noteBroken(): void {
    for (const engine of this.world.fleet.engines.values()) {
      const isLeader = engine.assignment?.leader === engine.record.vmId;
      const isSound = !isLeader || !engine.isReady || this.isUnharmed(engine);
      if (isSound) this.brokenSinceMs.delete(engine);
      else if (!this.brokenSinceMs.has(engine)) {
        this.brokenSinceMs.set(engine, this.world.nowMs);
      }
    }
  }

  private isUnharmed(leader: FleetEngine): boolean {
    const {fleet} = this.world;
    const vms = leader.assignment!.vms;
    const leaves = vms.some(vmId => fleet.engines.get(vmId)?.isLeaving);
    return fleet.isFormed(leader) && !leaves;
  }

  private checkStart(leader: FleetEngine): void {
    this.stats.starts += 1;
    const sinceMs = this.brokenSinceMs.get(leader);
    if (sinceMs === undefined || this.isUnharmed(leader)) return;
    const forMs = this.world.nowMs - sinceMs;
    if (forMs <= DETECTION_MS) return;
    const {vmId} = leader.record;
    this.report(
      `request started at ${vmId}, whose replica broke ${forMs} ms ago`,
    );
  }

  /** No two replicas with a VM in common run requests at once. */
  private checkShared(): void {
    const busy = [...this.world.fleet.engines.values()].filter(
      engine => engine.running.size > 0 && engine.condition === 'alive',
    );
    for (const one of busy) {
      for (const other of busy) {
        if (one.record.vmId >= other.record.vmId) continue;
        this.checkPair(one, other);
      }
    }
  }

  private checkPair(one: FleetEngine, other: FleetEngine): void {
    const key = `${one.record.vmId} ${other.record.vmId}`;
    const vms = one.assignment!.vms;
    const shared = other.assignment!.vms.find(vmId => vms.includes(vmId));
    if (shared === undefined) {
      this.sharedSinceMs.delete(key);
      return;
    }
    const sinceMs = this.sharedSinceMs.get(key) ?? this.world.nowMs;
    this.sharedSinceMs.set(key, sinceMs);
    if (this.world.nowMs - sinceMs > MOVE_MS) {
      this.report(`${key} both run requests and share ${shared}`);
    }
  }

  private checkOrder(engine: FleetEngine, order: EffectOf<'sendOrder'>): void {
    this.stats.orders += 1;
    const {vmId, checksFencing} = engine.record;
    const {fencingToken, assignment} = order;
    const highest = this.highestToken.get(engine) ?? 0;
    if (fencingToken < highest) {
      if (!checksFencing) {
        this.report(
          `${vmId} took an order of token ${fencingToken} after ${highest}`,
        );
      }
      return;
    }
    this.highestToken.set(engine, fencingToken);
    const last = engine.assignment?.replicaId;
    if (assignment && last && last !== assignment.replicaId) {
      this.report(`${vmId} passed from ${last} without a release`);
    }
  }
}
