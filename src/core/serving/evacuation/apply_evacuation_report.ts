import type {LoadDigest, PeerLink, ServingStep} from '../types.js';
import {adoptReading} from './adopt_reading.js';

/**
 * More than the fastest digest takes between regions. Without it, a proof that
 * relays report to each other would age more slowly than time passes.
 */
const TRANSIT_MS = 100;

/** Applies the evacuations in a peer's digest; one of an older build has none. */
export function applyEvacuationReport(
  step: ServingStep,
  {evacuation: report, from}: LoadDigest,
  link: PeerLink,
): void {
  const {state, nowMs} = step;
  const {evacuation} = state;
  if (!report || !evacuation.isEnabled) return;
  adoptReading(step, report, from);
  if (report.proofAgeMs < 0) return;
  if (report.storeVersion !== evacuation.storeVersion) return;
  evacuation.provenAtMs = Math.max(
    evacuation.provenAtMs,
    nowMs - link.delayMs - TRANSIT_MS - report.proofAgeMs,
  );
}
