import type {EngineWorld, JoinOrder} from './types.js';
import type {VmId} from '../../core/ids/index.js';
import {SERVING_BOUNDS} from './serving_bounds.js';
import {replicaKey} from '../../core/fleet/index.js';

interface ObservedReplica {
  readonly members: readonly VmId[];
  readonly wasReady: Set<VmId>;
}

/**
 * Records violations of the invariants on replicas and weight loads, as seen by
 * the engines: no engine joins a replica while the head of its current one
 * serves, requests only run in complete replicas whose members were all ready,
 * and weight loads stay within their rate limit, with a tolerance of 10 % and
 * 3 loads.
 */
export class InvariantChecks {
  readonly violations: string[] = [];
  private loadStartTimesMs: number[] = [];
  private readonly replicas = new Map<string, ObservedReplica>();

  constructor(private readonly world: EngineWorld) {}

  recordJoin(vmId: VmId, order: JoinOrder): void {
    const engine = this.world.findEngine(vmId)!;
    const {membership} = engine.record;
    const headId = engine.members[0];
    const head =
      headId === undefined ? undefined : this.world.findEngine(headId);
    const headMembership = head?.record.membership;
    const isHeadServing =
      membership !== undefined &&
      headMembership?.replicaId === membership.replicaId &&
      headMembership.epoch === membership.epoch &&
      head!.isServing;
    if (isHeadServing) {
      this.violations.push(
        `engine in two replicas at ${this.world.nowMs}: ${vmId} joins ${order.replicaId} while ${headId} serves ${membership.replicaId}`,
      );
    }
    const key = replicaKey(order.replicaId, order.epoch);
    if (!this.replicas.has(key)) {
      this.replicas.set(key, {members: order.members, wasReady: new Set()});
    }
  }

  recordReady(vmId: VmId): void {
    const {membership} = this.world.findEngine(vmId)!.record;
    if (!membership) return;
    this.replicas
      .get(replicaKey(membership.replicaId, membership.epoch))
      ?.wasReady.add(vmId);
  }

  recordRequestStart(vmId: VmId): void {
    const {membership, models} = this.world.findEngine(vmId)!.record;
    if (!membership) return;
    const key = replicaKey(membership.replicaId, membership.epoch);
    const replica = this.replicas.get(key);
    const size = this.world.costs.models.find(
      ({name}) => name === models[0],
    )?.size;
    const isComplete =
      replica !== undefined &&
      replica.members.length === size &&
      replica.members.every(member => replica.wasReady.has(member));
    if (!isComplete) {
      this.violations.push(
        `request in an incomplete replica at ${this.world.nowMs}: ${vmId} runs in ${key}`,
      );
    }
  }

  recordWeightLoad(): void {
    this.loadStartTimesMs.push(this.world.nowMs);
    const windowMs = SERVING_BOUNDS.loadWindowMs;
    const recent = this.loadStartTimesMs.filter(
      atMs => this.world.nowMs - atMs < windowMs,
    );
    const limit = (this.world.costs.loadsPerS * windowMs * 1.1) / 1000 + 3;
    if (recent.length > limit) {
      this.violations.push(
        `weight load rate exceeded at ${this.world.nowMs}: ${recent.length} loads`,
      );
    }
  }
}
