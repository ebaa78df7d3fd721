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

/** Longest time until nodes detect that a VM is lost or leaving. */
const DETECTION_MS = 2000;
/** Longest time that streams may continue on a replica that lost a VM. */
const MOVE_MS = 5000;

/** Checks the guarantees about VMs and replicas from the perspective of the engines. */
export class FleetChecks {
  /** Violations so far, each with its virtual time in milliseconds. */
  readonly faults: string[] = [];
  /** Number of requests that started and orders that arrived, to detect empty runs. */
  readonly stats = {starts: 0, orders: 0};
  private readonly brokenSinceMs = new Map<FleetEngine, number>();
  private readonly sharedSinceMs = new Map<string, number>();
  private readonly lastOrder = new Map<
    FleetEngine,
    {readonly node: VirtualNode; readonly sentAtMs: number}
  >();
  /** Orders that were sent and have not reached their engine. */
  private readonly inFlightOrders = new Map<FleetEngine, Set<SentOrder>>();

  constructor(private readonly world: FleetWorld) {
    world.fleet.onStart = leader => this.checkStart(leader);
    world.fleet.onSend = (node, order) => this.checkSend(node, order);
    world.fleet.onOrder = arrival => this.checkOrder(arrival);
    world.fleet.onUnreachable = order => {
      this.removeInFlight(world.fleet.engines.get(order.vmId)!, order);
    };
  }

  /** Checks the current state of documents and engines. */
  checkNow(): void {
    this.checkDocuments();
    this.trackBroken();
    this.checkShared();
  }

  private report(text: string): void {
    this.faults.push(`${this.world.nowMs}: ${text}`);
  }

  /** Each VM belongs to at most one replica over all documents. */
  private checkDocuments(): void {
    const seen = new Set<string>();
    for (const {value} of this.world.store.platform.list('domains/')) {
      const {replicas} = JSON.parse(value) as DomainDocument;
      for (const vmId of replicas.flatMap(entry => entry.vms)) {
        if (seen.has(vmId)) this.report(`${vmId} belongs to two replicas`);
        seen.add(vmId);
      }
    }
  }

  private trackBroken(): void {
    for (const engine of this.world.fleet.engines.values()) {
      const isLeader = engine.assignment?.leader === engine.record.vmId;
      const isHealthy = !isLeader || !engine.isReady || this.isIntact(engine);
      if (isHealthy) this.brokenSinceMs.delete(engine);
      else if (!this.brokenSinceMs.has(engine)) {
        this.brokenSinceMs.set(engine, this.world.nowMs);
      }
    }
  }

  private isIntact(leader: FleetEngine): boolean {
    const {fleet} = this.world;
    const vms = leader.assignment!.vms;
    const isMemberLeaving = vms.some(
      vmId => fleet.engines.get(vmId)?.isLeaving,
    );
    return fleet.isFormed(leader) && !isMemberLeaving;
  }

  private checkStart(leader: FleetEngine): void {
    this.stats.starts += 1;
    const sinceMs = this.brokenSinceMs.get(leader);
    if (sinceMs === undefined || this.isIntact(leader)) return;
    const brokenForMs = this.world.nowMs - sinceMs;
    if (brokenForMs <= DETECTION_MS) return;
    const {vmId} = leader.record;
    this.report(
      `request started at ${vmId}, whose replica has been degraded for ${brokenForMs} ms`,
    );
  }

  /** No two replicas that share a VM run requests at the same time. */
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

  /** Orders end within the lease of their steward; those of the current steward match the document in the store. */
  private checkSend(node: VirtualNode, order: Order): void {
    const {vmId, fencingToken, assignment} = order;
    const engine = this.world.fleet.engines.get(vmId)!;
    if (order.notAfterMs > node.state.replicas.lease.safeUntilMs) {
      this.report(
        `order to ${vmId} may arrive after the lease of its steward has expired`,
      );
    }
    const waiting = this.inFlightOrders.get(engine) ?? new Set();
    const {condition, record} = engine;
    // An engine without fencing must get one order at a time.
    const needsSerialOrders = condition === 'alive' && !record.checksFencing;
    if (needsSerialOrders && [...waiting].some(one => one.node === node)) {
      this.report(`two orders to ${vmId} in flight`);
    }
    this.inFlightOrders.set(engine, waiting.add({node, order}));
    const document = this.readDocument(record.domain!);
    if (document?.fencingToken !== fencingToken) return;
    const entry = document.replicas.find(one => one.vms.includes(vmId));
    const isHeld = entry?.state === 'loading' || entry?.state === 'serving';
    const matchesDocument = assignment
      ? assignment.replicaId === entry?.replicaId &&
        assignment.generation === entry.generation
      : !isHeld;
    if (!matchesDocument)
      this.report(`order to ${vmId} contradicts the document`);
  }

  private readDocument(domain: string): DomainDocument | undefined {
    const entries = this.world.store.platform.list(`domains/${domain}`);
    return entries[0] && (JSON.parse(entries[0].value) as DomainDocument);
  }

  private checkOrder({engine, order, node, outcome, before}: OrderArrival) {
    this.stats.orders += 1;
    this.removeInFlight(engine, order);
    if (outcome === 'fenced') return;
    const {vmId, domain} = engine.record;
    const {assignment, fencingToken} = order;
    const sentAtMs = order.notAfterMs - order.timeoutMs;
    const last = this.lastOrder.get(engine);
    if (last && last.node !== node && last.sentAtMs > sentAtMs) {
      this.report(
        `${vmId} applied an order of a former steward after one of its successor`,
      );
    }
    const inFlightMs = this.world.nowMs - sentAtMs;
    const token = this.readDocument(domain!)?.fencingToken ?? 0;
    if (fencingToken < token && inFlightMs <= DETECTION_MS) {
      this.report(
        `${vmId} applied an order with fencing token ${fencingToken} while the document has ${token}`,
      );
    }
    this.lastOrder.set(engine, {node, sentAtMs});
    if (assignment && before && before.replicaId !== assignment.replicaId) {
      this.report(
        `${vmId} was reassigned from ${before.replicaId} without a release`,
      );
    }
  }

  private removeInFlight(engine: FleetEngine, order: Order): void {
    const waiting = this.inFlightOrders.get(engine);
    for (const one of waiting ?? []) {
      if (one.order === order) waiting!.delete(one);
    }
  }
}
