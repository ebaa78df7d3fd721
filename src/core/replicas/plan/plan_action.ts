import type {DomainId, ReplicaId, ServiceName, VmId} from '../../ids/index.js';

interface Create {
  readonly kind: 'create';
  readonly domain: DomainId;
  readonly service: ServiceName;
  readonly vms: readonly VmId[];
}

/** Replaces VMs that were lost or are leaving by spare ones. */
interface Exchange {
  readonly kind: 'exchange';
  readonly domain: DomainId;
  readonly replicaId: ReplicaId;
  readonly out: readonly VmId[];
  readonly in: readonly VmId[];
}

/** Changes adapters or slots without interrupting service. */
interface Adapt {
  readonly kind: 'adapt';
  readonly domain: DomainId;
  readonly replicaId: ReplicaId;
}

interface Drain {
  readonly kind: 'drain';
  readonly domain: DomainId;
  readonly replicaId: ReplicaId;
  readonly reason:
    'surplus' | 'outdated' | 'removed' | 'lost' | 'dissolved' | 'preempted';
}

/** Lets a replica serve until another one has replaced it. */
interface Retire {
  readonly kind: 'retire';
  readonly domain: DomainId;
  readonly replicaId: ReplicaId;
}

/** Cancels a retirement. */
interface Keep {
  readonly kind: 'keep';
  readonly domain: DomainId;
  readonly replicaId: ReplicaId;
}

/** One change of a domain's document that a planner requests. */
export type PlanAction = Create | Exchange | Adapt | Drain | Retire | Keep;
