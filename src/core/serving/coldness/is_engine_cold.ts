import type {ServingState} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {resolveColdUntilMs} from './resolve_cold_until_ms.js';

/** Whether an engine tolerates only a few requests a second now. */
export function isEngineCold(
  state: ServingState,
  vmId: VmId,
  nowMs: number,
): boolean {
  const engine = state.engines.get(vmId);
  return engine !== undefined && resolveColdUntilMs(state, engine) > nowMs;
}
