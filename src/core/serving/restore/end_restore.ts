import type {ServingStep} from '../types.js';
import {isRestoring} from './is_restoring.js';
import {logDecision} from '../log_decision.js';

/** Lists the engines once more when those that live have written their entries again. */
export function endRestore(step: ServingStep): void {
  const {state, nowMs} = step;
  const {restore} = state;
  if (!restore.isRelistDue || isRestoring(state, nowMs)) return;
  restore.isRelistDue = false;
  step.effects.push({type: 'relistEngines'});
  logDecision(step, 'info', 'store', 'entries should be written again', {
    era: restore.era,
    afterMs: Math.round(nowMs - restore.sinceMs),
    engines: state.engines.size,
  });
}
