import type {EventOf} from '../events/types.js';
import type {PeerMessageOf} from '../peers/types.js';
import type {Step} from '../state/types.js';
import {applyChanges} from './apply_changes.js';
import {countMetric} from '../state/index.js';
import {peersAhead} from './peers_ahead.js';
import {pullFrom} from './pull_from.js';

const RETRY_MS = 200;

/** Takes in a peer's answer to a pull. */
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
    const ahead = peersAhead(step.state, step.nowMs);
    if (ahead.length > 0) pullFrom(step, ahead, pull.withoutHistory);
  } else {
    config.nextPullAtMs = step.nowMs + RETRY_MS;
  }
}

function applyDelta(step: Step, delta: PeerMessageOf<'config.delta'>): void {
  const {config} = step.state;
  const {fromRevision, toRevision, changes, publications} = delta;
  const isWhole = fromRevision === 0;
  // Only changes since a revision that this node has, or everything, make the next document.
  if (!isWhole && fromRevision > config.document.revision) return;
  const sent = new Set(changes.map(change => change.key));
  const gone = isWhole
    ? [...config.texts.keys()].filter(key => !sent.has(key))
    : [];
  const removals = gone.map(key => ({key, text: null, revision: toRevision}));
  const isApplied = applyChanges(step, {
    toRevision,
    changes: [...changes, ...removals],
    publications,
  });
  if (isApplied && isWhole) config.floorRevision = delta.floorRevision;
  const kind = isWhole ? 'whole' : 'changes';
  if (isApplied) countMetric(step, 'configPulls', 1, {kind});
}
