import type {ServingStep} from '../types.js';
import {isSettling} from './is_settling.js';
import {setZones} from './set_zones.js';

/** Returns zones to service that only earlier readings list, once a restored store has settled. */
export function expireEvacuations(step: ServingStep): void {
  const {state, nowMs} = step;
  const {zones, keptZones} = state.evacuation;
  if (keptZones.size === 0 || isSettling(state, nowMs)) return;
  setZones(step, {zones, keptZones: new Set()}, 'the settled store');
}
