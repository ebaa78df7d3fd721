import type {EventOf, NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import {advancePrefixWatch} from './advance_prefix_watch.js';
import {applyPrefixResult} from './apply_prefix_result.js';
import {checkAuthority} from './check_authority.js';
import {checkCutOff} from './check_cut_off.js';
import {claimDomains} from './claim_domains.js';
import {confirmDocuments} from './confirm_documents.js';
import {dropAuthority} from './drop_authority.js';
import {keepStewardLease} from './keep_steward_lease.js';
import {noteLeaseResult} from './note_lease_result.js';
import {noteOrderResult} from './note_order_result.js';
import {noteStewardResult} from './note_steward_result.js';
import {readDocuments} from './read_documents.js';
import {reconcile} from './reconcile.js';

/** The stewards' part of the reducer: leases, domain documents and orders. */
export function reduceReplicas(step: Step, event: NodeEvent): void {
  checkAuthority(step);
  switch (event.type) {
    case 'tick':
      return tick(step);
    case 'storeResult':
      if (event.area === 'replicas') noteStoreResult(step, event);
      return;
    case 'orderResult':
      return noteOrderResult(step, event);
    default:
  }
}

function tick(step: Step): void {
  const {replicas, self, drain} = step.state;
  advancePrefixWatch(step, replicas.documentWatch);
  confirmDocuments(step);
  if (!self.roles.steward) return;
  if (drain.draining) {
    leave(step);
    return;
  }
  advancePrefixWatch(step, replicas.stewardWatch);
  if (replicas.stewardships.size > 0) keepStewardLease(step);
  checkCutOff(step);
  if (replicas.cutOffSinceMs === undefined) claimDomains(step);
  reconcile(step);
}

/** Gives up the domains once no order is in flight. */
function leave(step: Step): void {
  const {lease, stewardships} = step.state.replicas;
  if (lease.leaseId === undefined) return;
  const orders = [...stewardships.values()].flatMap(one => [
    ...one.orders.values(),
  ]);
  const isInFlight = ({settledAfterMs = Infinity}) =>
    settledAfterMs > step.nowMs;
  if (orders.some(isInFlight)) return;
  dropAuthority(step, 'node is leaving');
}

function noteStoreResult(step: Step, event: EventOf<'storeResult'>): void {
  const {replicas} = step.state;
  const changed = applyPrefixResult(step, replicas.documentWatch, event);
  if (changed) {
    replicas.confirmedAtMs = replicas.documentWatch.confirmedAtMs;
    readDocuments(step, changed);
    return;
  }
  if (applyPrefixResult(step, replicas.stewardWatch, event)) return;
  if (noteLeaseResult(step, event)) return;
  noteStewardResult(step, event);
}
