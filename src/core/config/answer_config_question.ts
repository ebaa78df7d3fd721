import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {configKey} from './config_key.js';

/** Answers an operator who asks for the configuration in force, or its history. */
export function answerConfigQuestion(
  step: Step,
  event: EventOf<'operatorAsked'>,
): void {
  const {request, operationId} = event;
  const data =
    request.kind === 'configShow'
      ? showConfig(step)
      : request.kind === 'configHistory'
        ? showHistory(step, request.limit)
        : undefined;
  if (data === undefined) return;
  const answer = {kind: 'ok', data} as const;
  step.effects.push({type: 'operatorAnswer', operationId, answer});
}

function showConfig(step: Step) {
  const {document, texts, publications} = step.state.config;
  const services = [...texts].flatMap(([key, {text, revision}]) => {
    const name = configKey.serviceName(key);
    return name === undefined ? [] : [{name, revision, text}];
  });
  const organisations = texts.get(configKey.organisations);
  return {
    revision: document.revision,
    publication: publications[0],
    services: services.sort((a, b) => (a.name < b.name ? -1 : 1)),
    ...(organisations && {
      organisations: {
        revision: organisations.revision,
        text: organisations.text,
      },
    }),
  };
}

function showHistory(step: Step, limit: number) {
  const {document, publications} = step.state.config;
  return {
    revision: document.revision,
    publications: publications.slice(0, limit),
  };
}
