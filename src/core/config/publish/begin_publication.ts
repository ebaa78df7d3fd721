import type {EventOf} from '../../events/types.js';
import type {FileFault, ParsedFiles} from '../files/index.js';
import type {HeadJob} from './head_job.js';
import type {OperatorRequest} from '../../operators/types.js';
import type {Step} from '../../state/types.js';
import {CONFIG_TIMING} from '../config_timing.js';
import {configKey} from '../config_key.js';
import {createRefusal} from '../../errors/index.js';
import {parseConfigFiles} from '../files/index.js';
import {openJob} from './open_job.js';

type Publish = Extract<OperatorRequest, {kind: 'publish'}>;

/** Checks the files of a publication and opens its job; reports all faults at once. */
export function beginPublication(
  step: Step,
  event: EventOf<'operatorAsked'>,
  request: Publish,
): void {
  const {document, isCatchingUp} = step.state.config;
  if (isCatchingUp) {
    refuseNotReady(step, event);
    return;
  }
  const knownOrganisations = new Set<string>(document.organisations.keys());
  parseConfigFiles(request.files, knownOrganisations).match(
    files => openPublishJob(step, event, request, files),
    faults => refuseFaults(step, event, faults),
  );
}

function openPublishJob(
  step: Step,
  event: EventOf<'operatorAsked'>,
  request: Publish,
  files: ParsedFiles,
): void {
  const {operationId, operator} = event;
  const {publicationId, baseRevision, prune} = request;
  openJob(step, {
    jobId: operationId,
    kind: 'publish',
    operationId,
    operator,
    publicationId,
    edits: listEdits(files),
    prune,
    ...(baseRevision !== undefined && {baseRevision}),
  });
}

function listEdits(files: ParsedFiles): HeadJob['edits'] {
  const services = files.services.map(({text, service}) => ({
    key: configKey.service(service.name),
    text,
  }));
  if (!files.organisations) return services;
  const {text} = files.organisations;
  return [{key: configKey.organisations, text}, ...services];
}

function refuseFaults(
  step: Step,
  event: EventOf<'operatorAsked'>,
  faults: readonly FileFault[],
): void {
  const params = {count: faults.length};
  step.effects.push({
    type: 'operatorAnswer',
    operationId: event.operationId,
    answer: {
      kind: 'refused',
      refusal: createRefusal('ConfigInvalid', 'not-run', {params}),
      details: {faults},
    },
  });
}

function refuseNotReady(step: Step, event: EventOf<'operatorAsked'>): void {
  const params = {reason: 'it is reading the configuration'};
  const refusal = createRefusal('NodeNotReady', 'not-run', {
    params,
    retryAfterMs: CONFIG_TIMING.hearPeersMs,
  });
  step.effects.push({
    type: 'operatorAnswer',
    operationId: event.operationId,
    answer: {kind: 'refused', refusal},
  });
}
