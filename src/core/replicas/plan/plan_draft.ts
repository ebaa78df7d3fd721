import type {DomainId, VmId} from '../../ids/index.js';
import type {PlanAction} from './plan_action.js';
import type {PlanReplica} from './plan_replica.js';
import type {PlanView} from './plan_view.js';
import type {ServiceStanding} from './service_standing.js';
import {countSound} from './count_sound.js';
import {resolveStandings} from './resolve_standings.js';

/** A plan under construction: VMs not yet used, and the steps added so far. */
export class PlanDraft {
  readonly actions: PlanAction[] = [];
  readonly standings: readonly ServiceStanding[];
  readonly domains: readonly DomainId[];
  private readonly free = new Map<DomainId, VmId[]>();
  /** Number of VMs that draining and retiring replicas will release, less those reserved. */
  private readonly coming = new Map<DomainId, number>();
  private readonly touched = new Set<string>();

  constructor(readonly view: PlanView) {
    this.standings = resolveStandings(view);
    this.domains = [...view.free.keys()].sort();
    for (const [domain, vms] of view.free) {
      this.free.set(domain, vms.map(vm => vm.vmId).sort());
    }
    for (const replica of view.replicas) {
      if (replica.entry.state === 'draining') this.noteComing(replica);
      else if (replica.entry.isRetiring) this.noteComing(replica);
    }
  }

  countFree(domain: DomainId): number {
    return this.free.get(domain)?.length ?? 0;
  }

  countComing(domain: DomainId): number {
    return this.coming.get(domain) ?? 0;
  }

  takeFree(domain: DomainId, count: number): VmId[] {
    return this.free.get(domain)?.splice(0, count) ?? [];
  }

  /** Reserves VMs, free ones first, for a replica that is created once all of them are free. */
  reserve(domain: DomainId, count: number): void {
    const taken = this.takeFree(domain, count).length;
    this.coming.set(domain, this.countComing(domain) - (count - taken));
  }

  /** Adds a step; false when the plan already has a step for the replica. */
  addAction(action: PlanAction): boolean {
    if (action.kind !== 'create') {
      if (this.touched.has(action.replicaId)) return false;
      this.touched.add(action.replicaId);
    }
    this.actions.push(action);
    return true;
  }

  /** Excludes a replica from further steps without adding one. */
  exclude({entry}: PlanReplica): void {
    this.touched.add(entry.replicaId);
  }

  isExcluded({entry}: PlanReplica): boolean {
    return this.touched.has(entry.replicaId);
  }

  /** Counts the usable VMs of a replica as being released. */
  noteComing(replica: PlanReplica): void {
    const {domain} = replica;
    this.coming.set(domain, this.countComing(domain) + countSound(replica));
  }
}
