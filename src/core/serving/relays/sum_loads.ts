import type {DigestLoad} from '../types.js';
import type {VmId} from '../../ids/index.js';

/** Sums up the loads that several digests tell. */
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
    progressAgeMs: youngest(a.progressAgeMs, b.progressAgeMs),
    isSuspect: a.isSuspect || b.isSuspect,
    isSlow: a.isSlow || b.isSlow,
  };
}

/** Of two ages, of which -1 stands for none. */
function youngest(a: number, b: number): number {
  if (a < 0 || b < 0) return Math.max(a, b);
  return Math.min(a, b);
}
