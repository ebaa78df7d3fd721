import type {EngineChange} from '../../fleet/types.js';
import type {ServingStep} from '../types.js';
import {isSettled} from './is_settled.js';
import {storeVersion} from '../../store/index.js';

/**
 * Whether the store lists an engine as it was before what this node knows of
 * the same life: from a copy, since the engine has not written its entry again.
 * It may be cut off from the store and serve on.
 */
export function isOlderCopy(
  {state, nowMs}: ServingStep,
  {vmId, revision, engine}: EngineChange,
): boolean {
  const known = state.engines.get(vmId) ?? state.departed.get(vmId);
  if (!engine || known?.bornAtMs !== engine.bornAtMs) return false;
  const {eraOf} = storeVersion;
  if (eraOf(known.revision) >= eraOf(revision)) return false;
  if (engine.sequence < known.sequence) return true;
  return engine.sequence === known.sequence && !isSettled(state, nowMs);
}
