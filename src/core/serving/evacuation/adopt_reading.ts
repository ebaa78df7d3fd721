import type {EvacuationReport} from './types.js';
import type {ServingStep} from '../types.js';
import type {ZoneId} from '../../ids/index.js';
import {isSettling} from './is_settling.js';
import {logDecision} from '../log_decision.js';
import {markTargetsStale} from '../mark_targets_stale.js';
import {setZones} from './set_zones.js';
import {storeVersion as versions} from '../../store/index.js';

/**
 * Puts a reading in force if its version is the highest. While a restored store
 * settles, it may lack the operator's last writes, so zones are added and none
 * is removed. `from` is the source, for the log.
 */
export function adoptReading(
  step: ServingStep,
  reading: Omit<EvacuationReport, 'proofAgeMs'>,
  from: string,
): void {
  const {state, nowMs} = step;
  const {evacuation} = state;
  const {storeVersion, zones, keptZones} = reading;
  const before = evacuation.storeVersion;
  const isNewer = before === undefined || storeVersion > before;
  const kept = new Set<ZoneId>();
  if (isSettling(state, nowMs)) {
    add(kept, evacuation.keptZones, keptZones);
    if (isNewer) add(kept, evacuation.zones);
    // The peer has not learned of the restore; its zones may be among the lost writes.
    else if (versions.eraOf(storeVersion) < versions.eraOf(before)) {
      add(kept, zones);
    }
  }
  if (isNewer) evacuation.storeVersion = storeVersion;
  if (before === undefined) {
    markTargetsStale(state);
    logDecision(step, 'info', 'evacuation', 'evacuations known', {
      from,
      storeVersion,
      zones,
      afterMs: Math.round(nowMs - (state.startedAtMs ?? nowMs)),
    });
  }
  const inForce = isNewer ? new Set(zones) : evacuation.zones;
  setZones(step, {zones: inForce, keptZones: kept}, from);
}

function add(to: Set<ZoneId>, ...sources: readonly Iterable<ZoneId>[]): void {
  for (const source of sources) {
    for (const zone of source) to.add(zone);
  }
}
