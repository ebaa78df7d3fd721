import type {ServingState} from '../types.js';
import {isSignOverdue} from './is_sign_overdue.js';
import {promptTimeMs} from './prompt_time_ms.js';

/** Several passes; the targets of a pool process prompts at different times. */
const MIN_SILENT_MS = 100;
/** Requests at targets that do not run may each reach them after their callers have left, so few are sent. */
const MAX_UNHEARD = 2;
/** One target may be at fault by itself. */
const MIN_TARGETS = 2;

/** Whether several targets of a pool have requests of this node, and none of the pool has said anything, to this node or to its peers, since a sign was due. */
export function isPoolSilent(
  state: ServingState,
  pool: string,
  nowMs: number,
): boolean {
  const signs = state.poolSigns.get(pool);
  if (signs?.awaitedSinceMs === undefined) return false;
  let awaitedCount = 0;
  let minPromptMs = Infinity;
  let peersHeardAtMs = -Infinity;
  for (const target of state.targetsByPool.get(pool) ?? []) {
    const {vmId} = target;
    if (state.targetLoads.get(vmId)?.awaitedSinceMs !== undefined) {
      awaitedCount += 1;
      minPromptMs = Math.min(minPromptMs, promptTimeMs(state, target));
    }
    const progressAtMs = state.peerLoads.get(vmId)?.progressAtMs ?? -Infinity;
    peersHeardAtMs = Math.max(peersHeardAtMs, progressAtMs);
  }
  if (awaitedCount < MIN_TARGETS) return false;
  return isSignOverdue(
    signs,
    {
      peersHeardAtMs,
      minMs: MIN_SILENT_MS,
      extraMs: minPromptMs,
      maxUnheard: MAX_UNHEARD,
    },
    nowMs,
  );
}
