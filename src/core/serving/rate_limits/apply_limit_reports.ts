import type {LimitReport} from './types.js';
import type {NodeId} from '../../ids/index.js';
import type {ServingStep} from '../types.js';
import {applyLimit} from './apply_limit.js';

/** Takes over the limits that a peer reports; an engine's latest announcement counts. */
export function applyLimitReports(
  step: ServingStep,
  from: NodeId,
  reports: readonly LimitReport[],
): void {
  for (const {vmId, bornAtMs, perS, ageMs} of reports) {
    const atMs = step.nowMs - ageMs;
    applyLimit(step, vmId, {bornAtMs, perS, atMs}, from);
  }
}
