import type {ServingState, ServingTarget} from '../types.js';

/** Time that a target needs for the prompts, of all nodes, that it has not processed yet. Its streams have no events meanwhile. */
export function promptTimeMs(
  {targetLoads, peerLoads}: ServingState,
  {vmId, costs, pace}: ServingTarget,
): number {
  if (!costs) return 0;
  const unreadTokens =
    (targetLoads.get(vmId)?.unreadTokens ?? 0) +
    (peerLoads.get(vmId)?.unreadTokens ?? 0);
  return (pace * unreadTokens) / costs.readTokensPerMs;
}
