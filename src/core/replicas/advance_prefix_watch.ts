import type {PrefixWatch} from './prefix_watch.js';
import type {Step} from '../state/types.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {STORE_PRIORITY} from '../store/index.js';
import {mayReadStore} from '../membership/index.js';
import {callStore} from '../state/index.js';

const LIST_LIMIT = 10_000;
const RESPONSE_TIMEOUT_MS = 2000;

/** Sends the next list or watch when it is due and none is in flight. */
export function advancePrefixWatch(step: Step, watch: PrefixWatch): void {
  if (watch.operationId !== undefined || step.nowMs < watch.nextAtMs) return;
  if (!mayReadStore(step.state, step.nowMs)) return;
  watch.kind = watch.isListed ? 'watch' : 'list';
  watch.sentAtMs = step.nowMs;
  const {prefix, revision: sinceVersion} = watch;
  const timeoutMs = STEWARD_TIMING.watchMs;
  watch.operationId = callStore(
    step,
    'replicas',
    watch.kind === 'list'
      ? {kind: 'list', prefix, limit: LIST_LIMIT}
      : {kind: 'watch', prefix, sinceVersion, timeoutMs},
    {
      priority: STORE_PRIORITY.steward,
      timeoutMs:
        watch.kind === 'list'
          ? RESPONSE_TIMEOUT_MS
          : timeoutMs + RESPONSE_TIMEOUT_MS,
    },
  );
}
