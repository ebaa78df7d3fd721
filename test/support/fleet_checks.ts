import type {DomainDocument} from '../../src/core/replicas/types.js';
import type {EffectOf} from '../../src/core/effects/types.js';
import type {
  FleetEngine,
  FleetWorld,
  OrderArrival,
} from '../../src/replay/fleet/index.js';
import type {VirtualNode} from '../../src/replay/index.js';

type Order = EffectOf<'sendOrder'>;

interface SentOrder {
  readonly node: VirtualNode;
  readonly order: Order;
}

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
  private readonly lastOrder = new Map<
    FleetEngine,
    {readonly node: VirtualNode; readonly sentAtMs: number}
  >();
  /** Orders sent and not yet at their engine. */
  private readonly underWay = new Map<FleetEngine, Set<SentOrder>>();

  constructor(private readonly world: FleetWorld) {
    world.fleet.onStart = leader => this.checkStart(leader);
    world.fleet.onSend = (node, order) => this.checkSend(node, order);
    world.fleet.onOrder = arrival => this.checkOrder(arrival);
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

  /** What the current steward orders is what the store's document says. */
  private checkSend(node: VirtualNode, order: Order): void {
    const {vmId, fencingToken, assignment} = order;
    const engine = this.world.fleet.engines.get(vmId)!;
    if (order.notAfterMs > node.state.replicas.lease.safeUntilMs) {
      this.report(`an order to ${vmId} may outlive its steward's lease`);
    }
    const waiting = this.underWay.get(engine) ?? new Set();
    const {condition, record} = engine;
    const isAwake = condition === 'alive' && !record.checksFencing;
    if (isAwake && [...waiting].some(one => one.node === node)) {
      this.report(`${vmId} has two orders under way`);
    }
    this.underWay.set(engine, waiting.add({node, order}));
    const document = this.readDocument(record.domain!);
    if (document?.fencingToken !== fencingToken) return;
    const entry = document.replicas.find(one => one.vms.includes(vmId));
    const isHeld = entry?.state === 'loading' || entry?.state === 'serving';
    const isMeant = assignment
      ? assignment.replicaId === entry?.replicaId &&
        assignment.generation === entry.generation
      : !isHeld;
    if (!isMeant) this.report(`${vmId} got an order against the document`);
  }

  private readDocument(domain: string): DomainDocument | undefined {
    const entries = this.world.store.platform.list(`domains/${domain}`);
    return entries[0] && (JSON.parse(entries[0].value) as DomainDocument);
  }

  private checkOrder({engine, order, node, outcome, before}: OrderArrival) {
    this.stats.orders += 1;
    this.forgetUnderWay(engine, order);
    if (outcome === 'fenced') return;
    const {vmId, domain} = engine.record;
    const {assignment, fencingToken} = order;
    const sentAtMs = order.notAfterMs - order.timeoutMs;
    const last = this.lastOrder.get(engine);
    if (last && last.node !== node && last.sentAtMs > sentAtMs) {
      this.report(
        `${vmId} took an order of a former steward after a later one`,
      );
    }
    const tookMs = this.world.nowMs - sentAtMs;
    const token = this.readDocument(domain!)?.fencingToken ?? 0;
    if (fencingToken < token && tookMs <= DETECTION_MS) {
      this.report(
        `${vmId} took an order of token ${fencingToken} under ${token}`,
      );
    }
    this.lastOrder.set(engine, {node, sentAtMs});
    if (assignment && before && before.replicaId !== assignment.replicaId) {
      this.report(`${vmId} passed from ${before.replicaId} without a release`);
    }
  }

  private forgetUnderWay(engine: FleetEngine, order: Order): void {
    const waiting = this.underWay.get(engine);
    for (const one of waiting ?? []) {
      if (one.order === order) waiting!.delete(one);
    }
  }
}
