import type {DigestLoad} from '../types.js';
import type {VmId} from '../../ids/index.js';

/** Sums the loads of several digests per target. */
export function sumLoads(parts: Iterable<readonly DigestLoad[]>): DigestLoad[] {
  const sums = new Map<VmId, DigestLoad>();
  for (const loads of parts) {
    for (const load of loads) {
      const sum = sums.get(load.vmId);
      sums.set(load.vmId, sum ? add(sum, load) : load);
    }
  }
  return [...sums.values()];
}

function add(a: DigestLoad, b: DigestLoad): DigestLoad {
  return {
    vmId: a.vmId,
    inFlight: a.inFlight + b.inFlight,
    unreadTokens: a.unreadTokens + b.unreadTokens,
    progressAgeMs: minAge(a.progressAgeMs, b.progressAgeMs),
    isSuspect: a.isSuspect || b.isSuspect,
    isSlow: a.isSlow || b.isSlow,
    ...addRecentSends(a, b),
  };
}

function addRecentSends(
  {recentSends: a}: DigestLoad,
  {recentSends: b}: DigestLoad,
): Pick<DigestLoad, 'recentSends'> {
  if (a === undefined && b === undefined) return {};
  return {recentSends: (a ?? 0) + (b ?? 0)};
}

/** Returns the lower of two ages; -1 stands for none. */
function minAge(a: number, b: number): number {
  if (a < 0 || b < 0) return Math.max(a, b);
  return Math.min(a, b);
}
