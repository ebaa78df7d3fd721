import type {NodeState} from '../state/types.js';
import type {Standing} from './standing.js';
import {readiness} from './readiness.js';

/** Creates this node's own status, as it is sent in heartbeats and gossip. */
export function createStanding(state: NodeState, nowMs: number): Standing {
  const {self, membership, requests} = state;
  let queued = 0;
  for (const queue of state.admission.queues.values()) queued += queue.size;
  return {
    incarnation: self.incarnation,
    startedAtMs: membership.startedAtMs,
    sequence: membership.sequence,
    zone: self.zone,
    callerAddress: self.callerAddress,
    controlAddress: self.controlAddress,
    phase: phaseOf(state, nowMs),
    configRevision: state.config.document.revision,
    queued,
    running: requests.byId.size - queued,
  };
}

function phaseOf(state: NodeState, nowMs: number): Standing['phase'] {
  const {isLeaving, isSuperseded} = state.membership;
  if (state.drain.draining || isLeaving || isSuperseded) return 'draining';
  return readiness(state, nowMs).ready ? 'serving' : 'starting';
}
