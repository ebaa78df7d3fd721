import type {AttemptRecord, ServingState} from '../types.js';

/** Returns what shows that the process that sent a body has ended since; undefined if nothing does. */
export function findEnd(
  {lostEngines, engines}: ServingState,
  {vmId, bornAtMs, closed}: AttemptRecord,
): string | undefined {
  const lost = lostEngines.get(vmId);
  if (lost?.bornAtMs === bornAtMs && lost.atMs >= closed!.aliveAtMs) {
    return 'target lost';
  }
  const engine = engines.get(vmId);
  return engine && engine.bornAtMs !== bornAtMs
    ? 'target restarted'
    : undefined;
}
