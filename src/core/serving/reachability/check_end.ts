import type {ServingStep} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {crashDetection} from '../crashes/index.js';
import {isEndCorroborated} from './is_end_corroborated.js';
import {markEngineLost} from '../../steward/mark_engine_lost.js';

/** Takes an engine for lost once other nodes corroborate that its process has ended. */
export function checkEnd(step: ServingStep, vmId: VmId): void {
  const {state} = step;
  const end = state.reachability.suspectedEnds.get(vmId);
  const engine = state.engines.get(vmId);
  if (!end || end.isConfirmed || engine?.bornAtMs !== end.bornAtMs) return;
  if (!isEndCorroborated(step, engine, end.sinceMs)) return;
  end.isConfirmed = true;
  markEngineLost(step, vmId, end.proof);
  crashDetection.confirm(step, vmId);
}
