import type {ServingEvent} from '../events.js';
import type {ServingStep} from '../types.js';
import {recordReached} from './record_reached.js';
import {recordUnreachable} from './record_unreachable.js';

/** An engine that has not answered a probe by then counts as silent. */
const PROBE_TIMEOUT_MS = 250;

/** Takes the result of any probe as evidence of this node's path. */
export function handleProbe(
  step: ServingStep,
  {vmId, outcome}: Extract<ServingEvent, {type: 'probeAnswered'}>,
): void {
  const {state, nowMs} = step;
  const service = state.engines.get(vmId)?.service;
  if (outcome !== 'answered' && outcome !== 'accepted') {
    recordUnreachable(step, service, vmId, `probe ${outcome}`);
    return;
  }
  const path = service && state.reachability.paths.get(service);
  const sentAtMs = path ? path.probes.get(vmId) : undefined;
  recordReached(step, vmId, sentAtMs ?? nowMs - PROBE_TIMEOUT_MS);
}
