import type {DomainId, VmId} from '../../ids/index.js';

/** A VM and its condition, as input of the planner. */
export interface PlanVm {
  readonly vmId: VmId;
  readonly domain: DomainId;
  /**
   * free: may join a replica; sound: may stay in its replica but not join
   * another; leaving: works but will be removed; lost: silent for long; gone: lost
   * and no longer listed.
   */
  readonly condition: 'free' | 'sound' | 'leaving' | 'lost' | 'gone';
}
