import type {DomainId, ReplicaId, ServiceName, VmId} from '../../ids/index.js';

interface Create {
  readonly kind: 'create';
  readonly domain: DomainId;
  readonly service: ServiceName;
  readonly vms: readonly VmId[];
}

/** Puts spare VMs in the place of VMs that were lost or leave. */
interface Exchange {
  readonly kind: 'exchange';
  readonly domain: DomainId;
  readonly replicaId: ReplicaId;
  readonly out: readonly VmId[];
  readonly in: readonly VmId[];
}

/** Loads other adapters, or sets other slots, without a break. */
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

/** Lets a replica serve until another one has taken its place. */
interface Retire {
  readonly kind: 'retire';
  readonly domain: DomainId;
  readonly replicaId: ReplicaId;
}

/** Takes a retirement back. */
interface Keep {
  readonly kind: 'keep';
  readonly domain: DomainId;
  readonly replicaId: ReplicaId;
}

/** One change of a domain's document that a planner asks for. */
export type PlanAction = Create | Exchange | Adapt | Drain | Retire | Keep;
