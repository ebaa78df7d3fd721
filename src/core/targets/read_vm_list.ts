import type {Step} from '../state/types.js';
import {STORE_PRIORITY} from '../store/index.js';
import {TARGET_TIMING} from './target_timing.js';
import {mayReadStore} from '../membership/index.js';
import {callStore} from '../state/index.js';

/** Spread of the interval, as a share of it. */
const JITTER = 0.1;

/** Requests the VM list from the store if the interval has passed. */
export function readVmList(step: Step): void {
  const {list} = step.state.targets;
  if (list.operationId !== undefined || step.nowMs < list.nextAtMs) return;
  if (!mayReadStore(step.state, step.nowMs)) return;
  const jitter = 1 + (step.state.random.next() - 0.5) * JITTER;
  list.nextAtMs = step.nowMs + TARGET_TIMING.listIntervalMs * jitter;
  list.operationId = callStore(
    step,
    'targets',
    {kind: 'listVms'},
    {
      priority: STORE_PRIORITY.membership,
      timeoutMs: TARGET_TIMING.listIntervalMs,
    },
  );
}
