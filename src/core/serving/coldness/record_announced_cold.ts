import type {ServingStep} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {recordCold} from './record_cold.js';

/** Records that an engine said in a response that it is cold for `leftMs` more. */
export function recordAnnouncedCold(
  step: ServingStep,
  vmId: VmId,
  leftMs: number,
): void {
  const engine = step.state.engines.get(vmId);
  if (engine) recordCold(step, engine, {leftMs, source: 'engine'});
}
