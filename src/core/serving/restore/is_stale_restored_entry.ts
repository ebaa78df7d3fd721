import type {EngineChange} from '../../fleet/types.js';
import type {ServingStep} from '../types.js';
import {isRestoreComplete} from './is_restore_complete.js';
import {storeVersion} from '../../store/index.js';

/**
 * Whether the store's entry of an engine is older than this node's record of the
 * same incarnation: a restore brought it back, and the engine has not rewritten
 * it. The engine may be partitioned from the store and still serve.
 */
export function isStaleRestoredEntry(
  {state, nowMs}: ServingStep,
  {vmId, revision, engine}: EngineChange,
): boolean {
  const last = state.engines.get(vmId) ?? state.departedEngines.get(vmId);
  if (!engine || last?.bornAtMs !== engine.bornAtMs) return false;
  const {eraOf} = storeVersion;
  if (eraOf(last.revision) >= eraOf(revision)) return false;
  if (engine.sequence < last.sequence) return true;
  return engine.sequence === last.sequence && !isRestoreComplete(state, nowMs);
}
