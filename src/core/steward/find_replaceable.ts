import type {ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';
import {engineWarmth} from './engine_warmth.js';
import {freeEngines} from './free_engines.js';

/** A replica is left alone for this long after it opened, so that it isn't taken apart by turns. */
const SETTLED_MS = 1500;

/** A slow member for which a warm spare stands ready: the whole replica works at the pace of its slowest member. */
export function findReplaceable(
  step: ServingStep,
  track: ReplicaTrack,
): VmId | undefined {
  const {state, nowMs} = step;
  const {slowEngines} = state.steward;
  if (slowEngines.size === 0) return undefined;
  if (nowMs - track.phaseSinceMs < SETTLED_MS) return undefined;
  const slow = track.members.filter(vmId => slowEngines.has(vmId));
  if (slow.length === 0) return undefined;
  const free = freeEngines(state, track.service).get(track.domain ?? '') ?? [];
  const spares = free.filter(
    engine =>
      !slowEngines.has(engine.vmId) &&
      engineWarmth(engine, track.model) === 0 &&
      engine.membership?.stage !== 'joining',
  );
  return spares.length >= slow.length ? slow[0] : undefined;
}
