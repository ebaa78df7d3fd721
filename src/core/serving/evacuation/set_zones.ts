import type {EvacuationState} from './types.js';
import type {ServingStep} from '../types.js';
import type {ZoneId} from '../../ids/index.js';
import {count} from '../count.js';
import {logDecision} from '../log_decision.js';
import {markTargetsStale} from '../mark_targets_stale.js';

type Zones = Pick<EvacuationState, 'zones' | 'keptZones'>;

/** Replaces the evacuated zones, and logs and counts those that changed. `from` is the source, for the log. */
export function setZones(step: ServingStep, zones: Zones, from: string): void {
  const {state, nowMs} = step;
  const {evacuation} = state;
  const before = union(evacuation);
  const after = union(zones);
  evacuation.zones = zones.zones;
  evacuation.keptZones = zones.keptZones;
  for (const zone of after) {
    if (before.has(zone)) continue;
    evacuation.returnedAtMsByZone.delete(zone);
    logChange(step, 'zone evacuated', zone, from);
  }
  for (const zone of before) {
    if (after.has(zone)) continue;
    evacuation.returnedAtMsByZone.set(zone, nowMs);
    logChange(step, 'zone returned to service', zone, from);
  }
}

function union({zones, keptZones}: Zones): Set<ZoneId> {
  return new Set([...zones, ...keptZones]);
}

function logChange(
  step: ServingStep,
  message: 'zone evacuated' | 'zone returned to service',
  zone: ZoneId,
  from: string,
): void {
  const {state} = step;
  markTargetsStale(state);
  const engines = [...state.engines.values()].filter(one => one.zone === zone);
  logDecision(step, 'info', 'evacuation', message, {
    zone,
    from,
    storeVersion: state.evacuation.storeVersion,
    engines: engines.length,
  });
  const change = message === 'zone evacuated' ? 'evacuated' : 'returned';
  count(step, 'zoneEvacuations', 1, {change});
}
