import type {PrefixWatch} from './prefix_watch.js';
import type {Step} from '../state/types.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {STORE_PRIORITY} from '../store/index.js';
import {callStore} from '../state/index.js';

const LIST_LIMIT = 10_000;

/** Lists the prefix while a watch is pending, to confirm that the view is current. */
export function confirmPrefixWatch(step: Step, watch: PrefixWatch): void {
  const {confirmSentAtMs, prefix} = watch;
  if (watch.confirmId !== undefined) return;
  if (step.nowMs - confirmSentAtMs < STEWARD_TIMING.retryMs) return;
  watch.confirmSentAtMs = step.nowMs;
  watch.confirmId = callStore(
    step,
    'replicas',
    {kind: 'list', prefix, limit: LIST_LIMIT},
    {priority: STORE_PRIORITY.steward},
  );
}
