import type {EventOf} from '../events/types.js';
import type {PeerMessageOf} from '../peers/types.js';
import type {Step} from '../state/types.js';
import {applyChanges} from './apply_changes.js';
import {countMetric} from '../state/index.js';
import {findPeersAhead} from './find_peers_ahead.js';
import {pullFrom} from './pull_from.js';

const PULL_RETRY_MS = 200;

/** Applies a peer's answer to a pull, or requests the changes from another peer. */
export function notePullAnswer(
  step: Step,
  event: EventOf<'peerAnswered'>,
): void {
  const {config} = step.state;
  const call = config.calls.get(event.callId);
  if (call?.purpose !== 'pull') return;
  config.calls.delete(event.callId);
  const {pull} = config;
  if (pull?.callId !== event.callId) return;
  delete config.pull;
  const {message} = event;
  if (message?.type === 'config.delta') {
    applyDelta(step, message);
  } else if (message?.type === 'config.noHistory') {
    pull.withoutHistory.add(event.from);
    const ahead = findPeersAhead(step.state, step.nowMs);
    if (ahead.length > 0) pullFrom(step, ahead, pull.withoutHistory);
  } else {
    config.nextPullAtMs = step.nowMs + PULL_RETRY_MS;
  }
}

function applyDelta(step: Step, delta: PeerMessageOf<'config.delta'>): void {
  const {config} = step.state;
  const {fromRevision, toRevision, changes, publications} = delta;
  const isComplete = fromRevision === 0;
  // A delta applies only to its base revision or a later one; a complete configuration always applies.
  if (!isComplete && fromRevision > config.document.revision) return;
  const receivedKeys = new Set(changes.map(change => change.key));
  const missing = isComplete
    ? [...config.texts.keys()].filter(key => !receivedKeys.has(key))
    : [];
  const removals = missing.map(key => ({
    key,
    text: null,
    revision: toRevision,
  }));
  const isApplied = applyChanges(step, {
    toRevision,
    changes: [...changes, ...removals],
    publications,
  });
  if (isApplied && isComplete) config.floorRevision = delta.floorRevision;
  const kind = isComplete ? 'whole' : 'changes';
  if (isApplied) countMetric(step, 'configPulls', 1, {kind});
}
