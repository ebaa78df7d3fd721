import type {
  ConfigHistoryAnswer,
  ConfigShowAnswer,
} from '../operators/types.js';
import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {configKey} from './config_key.js';

/** Answers `configShow` and `configHistory`; other operator requests are ignored. */
export function answerConfigRequest(
  step: Step,
  event: EventOf<'operatorAsked'>,
): void {
  const {request, operationId} = event;
  const data =
    request.kind === 'configShow'
      ? listTexts(step)
      : request.kind === 'configHistory'
        ? listPublications(step, request.limit)
        : undefined;
  if (data === undefined) return;
  const answer = {kind: 'ok', data} as const;
  step.effects.push({type: 'operatorAnswer', operationId, answer});
}

function listTexts(step: Step): ConfigShowAnswer {
  const {document, texts} = step.state.config;
  const files = [...texts].map(([key, {text, revision}]) => ({
    name: configKey.serviceName(key) ?? key,
    revision,
    text,
  }));
  files.sort((a, b) => (a.name < b.name ? -1 : 1));
  return {revision: document.revision, files};
}

function listPublications(step: Step, limit: number): ConfigHistoryAnswer {
  return {publications: step.state.config.publications.slice(0, limit)};
}
