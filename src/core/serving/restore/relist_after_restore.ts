import type {ServingStep} from '../types.js';
import {isRestoreComplete} from './is_restore_complete.js';
import {logDecision} from '../log_decision.js';

/** Lists the engines again after a restore of the store, once live engines have rewritten their entries and those of others have expired. */
export function relistAfterRestore(step: ServingStep): void {
  const {state, nowMs} = step;
  const {restore} = state;
  if (!restore.isRelistPending || !isRestoreComplete(state, nowMs)) return;
  restore.isRelistPending = false;
  step.effects.push({type: 'relistEngines'});
  logDecision(step, 'info', 'store', 'return of the store is over', {
    era: restore.era,
    afterMs: Math.round(nowMs - restore.eraChangedAtMs),
    engines: state.engines.size,
  });
}
