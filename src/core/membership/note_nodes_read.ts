import type {MembershipCall} from './membership_call.js';
import type {StoreEntry, StoreOutcome} from '../store/types.js';
import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {nodeRecord} from './node_record.js';
import {noteStanding} from './note_standing.js';
import {storeBackoffMs} from './store_backoff.js';

/** Applies the result of a list or watch of the node records. */
export function noteNodesRead(
  step: Step,
  call: MembershipCall,
  outcome: StoreOutcome,
): void {
  const {membership} = step.state;
  if (outcome.kind !== 'ok') {
    const retryAtMs = step.nowMs + storeBackoffMs(step.state);
    if (call.purpose === 'list') membership.nextListAtMs = retryAtMs;
    else membership.nextWatchAtMs = retryAtMs;
    return;
  }
  membership.watchedVersion = outcome.version ?? membership.watchedVersion;
  for (const entry of outcome.entries ?? []) noteRecord(step, entry);
  if (call.purpose !== 'list') return;
  membership.hasView = true;
  membership.nextListAtMs = step.nowMs + drawListDelayMs(step);
}

/** A removed record does not remove the peer: its heartbeats decide whether it is live. */
function noteRecord(step: Step, entry: StoreEntry): void {
  const standing = nodeRecord.read(entry.value);
  if (!standing) return;
  const nodeId = nodeRecord.nodeId(entry.key);
  const change = noteStanding(step, nodeId, standing, step.nowMs);
  if (change === 'changed') step.state.membership.gossip.add(nodeId);
}

function drawListDelayMs(step: Step): number {
  const {listIntervalMs, rareListIntervalMs} = MEMBERSHIP_TIMING;
  const {isRelay} = step.state.membership;
  const intervalMs = isRelay ? listIntervalMs : rareListIntervalMs;
  return intervalMs * (0.75 + 0.5 * step.state.random.next());
}
