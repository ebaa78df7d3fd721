import type {ConfigCall} from './config_call.js';
import type {NodeState, Step} from '../state/types.js';
import {CONFIG_TIMING} from './config_timing.js';
import {mayReadStore} from '../membership/index.js';
import {callConfigStore} from './call_config_store.js';
import {headRecord} from './head_record.js';

const {key} = headRecord;

/**
 * Reads the head once after the start or a pause; relays also watch it and read
 * it at an interval.
 */
export function readHead(step: Step): void {
  const {state, nowMs} = step;
  const {config, membership} = state;
  if (!mayReadStore(state, nowMs)) return;
  const isNeeded = !config.hasReadHead || membership.isRelay;
  if (!isNeeded) return;
  if (nowMs >= config.nextHeadAtMs && !isCallPending(state, 'head')) {
    config.nextHeadAtMs = nowMs + CONFIG_TIMING.headIntervalMs;
    callConfigStore(step, {purpose: 'head'}, {kind: 'get', key});
  }
  if (!membership.isRelay || !config.hasReadHead) return;
  if (nowMs < config.nextWatchAtMs || isCallPending(state, 'watch')) return;
  callConfigStore(
    step,
    {purpose: 'watch'},
    {
      kind: 'watch',
      prefix: key,
      sinceVersion: config.headVersion,
      timeoutMs: CONFIG_TIMING.watchTimeoutMs,
    },
  );
}

function isCallPending(
  state: NodeState,
  purpose: ConfigCall['purpose'],
): boolean {
  for (const call of state.config.calls.values()) {
    if (call.purpose === purpose) return true;
  }
  return false;
}
