import type {ServingState} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {START_WINDOW} from './start_window.js';
import {learnsPace} from './learns_pace.js';

/** Lets a target start slowly, unless it already does. */
export function startRecovery(
  state: ServingState,
  vmId: VmId,
  nowMs: number,
): void {
  const engine = state.engines.get(vmId);
  if (!engine || !learnsPace(state, engine.service)) return;
  const {records} = state.pace;
  const known = records.get(vmId);
  if (known && !known.hasRecovered && known.bornAtMs === engine.bornAtMs) {
    return;
  }
  records.set(vmId, {
    bornAtMs: engine.bornAtMs,
    window: START_WINDOW,
    evidenceAtMs: nowMs,
    onTimeRounds: 0,
    roundStartedAtMs: nowMs,
    reducedAtMs: -Infinity,
    hasRecovered: false,
  });
}
