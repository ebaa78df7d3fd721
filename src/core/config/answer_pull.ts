import type {ConfigChange} from './config_change.js';
import type {ConfigState} from './config_state.js';
import type {EventOf} from '../events/types.js';
import type {PeerMessage} from '../peers/types.js';
import type {Step} from '../state/types.js';

/**
 * Answers a peer's request for the changes since a revision; 0 requests the
 * whole configuration. Without that history the answer is `config.noHistory`.
 */
export function answerPull(step: Step, event: EventOf<'peerAsked'>): void {
  if (event.message.type !== 'config.pull') return;
  const {sinceRevision} = event.message;
  const message = createAnswer(step.state.config, sinceRevision);
  step.effects.push({type: 'peerAnswer', callId: event.callId, message});
}

function createAnswer(config: ConfigState, sinceRevision: number): PeerMessage {
  const {revision} = config.document;
  const hasHistory =
    sinceRevision === 0 || sinceRevision >= config.floorRevision;
  if (!hasHistory || sinceRevision > revision) {
    return {type: 'config.noHistory', revision};
  }
  return {
    type: 'config.delta',
    fromRevision: sinceRevision,
    toRevision: revision,
    floorRevision: config.floorRevision,
    changes: changesSince(config, sinceRevision),
    publications: config.publications.filter(
      publication => publication.revision > sinceRevision,
    ),
  };
}

function changesSince(
  config: ConfigState,
  sinceRevision: number,
): ConfigChange[] {
  const changed = [...config.texts]
    .filter(([, {revision}]) => revision > sinceRevision)
    .map(([key, {text, revision}]) => ({key, text, revision}));
  const removed = [...config.removed]
    .filter(([, revision]) => revision > sinceRevision)
    .map(([key, revision]) => ({key, text: null, revision}));
  return [...changed, ...removed];
}
