import type {ServingStep} from '../types.js';
import {isSettled} from './is_settled.js';
import {logDecision} from '../log_decision.js';

/** Lists the engines again after a restore of the store, once live engines have rewritten their entries and those of others have expired. */
export function endRestore(step: ServingStep): void {
  const {state, nowMs} = step;
  const {restore} = state;
  if (!restore.isRelistDue || !isSettled(state, nowMs)) return;
  restore.isRelistDue = false;
  step.effects.push({type: 'relistEngines'});
  logDecision(step, 'info', 'store', 'return of the store is over', {
    era: restore.era,
    afterMs: Math.round(nowMs - restore.sinceMs),
    engines: state.engines.size,
  });
}
