import type {ServingStep} from '../types.js';
import {countEngines} from './count_engines.js';
import {probePath} from './probe_path.js';

/** A probe is answered or given up sooner. */
const PROBE_TTL_MS = 600;
/** Interval between probes while the path is down: the return of the path must not go unnoticed for longer than a few requests. */
const DOWN_PROBE_INTERVAL_MS = 300;

/** Probes the paths that are in doubt or down, and forgets those to services without engines. */
export function checkPaths(step: ServingStep): void {
  const {state, nowMs} = step;
  for (const [service, path] of state.reachability.paths) {
    if (path.doubtedSinceMs === undefined) continue;
    for (const [vmId, sentAtMs] of path.probes) {
      if (nowMs - sentAtMs > PROBE_TTL_MS) path.probes.delete(vmId);
    }
    if (countEngines(state, service) === 0) {
      state.reachability.paths.delete(service);
      continue;
    }
    const intervalMs =
      path.downSinceMs === undefined ? 0 : DOWN_PROBE_INTERVAL_MS;
    if (path.probes.size > 0 || nowMs - path.probedAtMs < intervalMs) continue;
    probePath(step, service, path);
  }
}
