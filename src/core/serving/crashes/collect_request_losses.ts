import type {CrashReport, CrashState} from './types.js';
import type {Fingerprint} from '../../ids/index.js';

/** Collects the crashes that requests of the same content were in since one was last answered; `reports` are in order of time. */
export function collectRequestLosses(
  {survivals}: CrashState,
  reports: readonly CrashReport[],
): Map<Fingerprint, CrashReport[]> {
  const byRequest = new Map<Fingerprint, CrashReport[]>();
  for (const report of reports) {
    for (const fingerprint of report.runs.keys()) {
      const survival = survivals.get(fingerprint);
      if (survival && survival.atMs >= report.atMs) continue;
      const losses = byRequest.get(fingerprint);
      if (losses) losses.push(report);
      else byRequest.set(fingerprint, [report]);
    }
  }
  return byRequest;
}
