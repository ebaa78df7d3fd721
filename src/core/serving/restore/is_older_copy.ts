import type {EngineChange} from '../../fleet/types.js';
import type {ServingStep} from '../types.js';
import {isRestoring} from './is_restoring.js';

/** Whether the store lists an engine as it was before what this node knows of the same life. */
export function isOlderCopy(
  {state, nowMs}: ServingStep,
  {vmId, engine}: EngineChange,
): boolean {
  if (!engine || !isRestoring(state, nowMs)) return false;
  const known = state.engines.get(vmId) ?? state.departed.get(vmId);
  return (
    known !== undefined &&
    known.bornAtMs === engine.bornAtMs &&
    engine.sequence <= known.sequence
  );
}
