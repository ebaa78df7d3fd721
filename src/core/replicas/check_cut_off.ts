import type {Step} from '../state/types.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {dropAuthority} from './drop_authority.js';
import {hasFreshReport} from '../targets/index.js';

/** A steward that receives no engine report at all is cut off itself: it gives up for another node to take over. */
export function checkCutOff(step: Step): void {
  const {replicas, targets} = step.state;
  const isReceiving = [...targets.reports.keys()].some(vmId =>
    hasFreshReport(targets, vmId, step.nowMs),
  );
  if (isReceiving || targets.vms.size === 0) {
    delete replicas.cutOffSinceMs;
    return;
  }
  replicas.cutOffSinceMs ??= step.nowMs;
  const forMs = step.nowMs - replicas.cutOffSinceMs;
  if (forMs < STEWARD_TIMING.cutOffMs) return;
  if (replicas.stewardships.size === 0) return;
  dropAuthority(step, 'no engine reports received');
}
