import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {ONCE_PAGE_SIZE} from './once_page_size.js';
import {STORE_PRIORITY} from '../store/index.js';
import {callStore} from '../state/index.js';
import {isOnceExpired} from './is_once_expired.js';
import {parseOnceEntry} from './parse_once_entry.js';

const PAGE_INTERVAL_MS = 1000;

/**
 * Removes the expired entries of a page; false when the result is not a page. A key
 * that was claimed again in the meantime has another version and is kept.
 */
export function sweepPage(
  step: Step,
  {operationId, outcome}: EventOf<'storeResult'>,
): boolean {
  const {sweep} = step.state.once;
  if (operationId !== sweep.operationId) return false;
  delete sweep.operationId;
  const entries = outcome.kind === 'ok' ? (outcome.entries ?? []) : [];
  for (const {key, value, version} of entries) {
    const entry = parseOnceEntry(value);
    if (!entry || !isOnceExpired(entry, step.nowMs)) continue;
    const operation = {
      kind: 'compareAndSwap',
      key,
      expectedVersion: version,
      value: null,
    } as const;
    callStore(step, 'once', operation, {priority: STORE_PRIORITY.audit});
  }
  const isFull = entries.length === ONCE_PAGE_SIZE;
  sweep.afterKey = isFull ? entries.at(-1)!.key : '';
  if (isFull) sweep.nextAtMs = step.nowMs + PAGE_INTERVAL_MS;
  return true;
}
