import type {PredecessorEntry} from './types.js';
import type {ServingStep} from '../types.js';
import {logDecision} from '../log_decision.js';

/** Takes over what peers report of this node's earlier process; the latest report counts. */
export function applyPredecessors(
  step: ServingStep,
  entries: readonly PredecessorEntry[],
): void {
  const {state, nowMs} = step;
  const own = entries.find(
    ({nodeId, successor}) =>
      nodeId === state.nodeId && successor === state.incarnation,
  );
  if (!own) return;
  const heardAtMs = nowMs - own.ageMs;
  const {inherited} = state.retries;
  if (inherited && inherited.heardAtMs >= heardAtMs) return;
  const counts = new Map(own.retries.map(one => [one.service, one.count]));
  state.retries.inherited = {heardAtMs, counts};
  if (inherited) return;
  logDecision(step, 'info', 'requests', 'retries of the earlier process', {
    ageMs: own.ageMs,
    counts: Object.fromEntries(counts),
  });
}
