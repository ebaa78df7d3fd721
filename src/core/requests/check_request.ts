import {hash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import type {CallerRequest} from './caller_request.js';
import type {Fingerprint, OnceKey} from '../ids/index.js';
import type {OrganisationConfig, ServiceConfig} from '../config/types.js';
import type {Refusal} from '../errors/index.js';
import type {RequestInfo} from './request_info.js';
import type {Step} from '../state/types.js';
import {createRefusal} from '../errors/index.js';
import {findOrganisation} from './find_organisation.js';
import {makeId} from '../ids/index.js';

/** Authenticates, authorises and validates a request; every refusal has the verdict `not-run`. */
export function checkRequest(
  step: Step,
  request: CallerRequest,
): Result<RequestInfo, Refusal> {
  const {document} = step.state.config;
  const organisation = findOrganisation(document, request.tokenSha256);
  if (!organisation) return err(createRefusal('NotAuthenticated', 'not-run'));
  const service = document.services.get(request.service);
  if (!service || service.kind !== request.kind) {
    return err(refuse('ServiceNotFound', {service: request.service}));
  }
  if (!service.organisations.includes(organisation.name)) {
    return err(
      refuse('ServiceNotAllowed', {
        service: service.name,
        organisation: organisation.name,
      }),
    );
  }
  const {adapter} = request;
  if (adapter !== undefined && !hasAdapter(service, adapter)) {
    return err(refuse('AdapterNotFound', {service: service.name, adapter}));
  }
  const unrepeatable = service.unrepeatable || request.unrepeatable;
  if (unrepeatable && !request.idempotencyKey) {
    return err(refuse('IdempotencyKeyMissing', {service: service.name}));
  }
  return ok(createInfo(step, request, service, organisation, unrepeatable));
}

function createInfo(
  step: Step,
  request: CallerRequest,
  service: ServiceConfig,
  organisation: OrganisationConfig,
  unrepeatable: boolean,
): RequestInfo {
  const scope = [organisation.name, service.name];
  const timeoutMs = Math.min(
    request.timeoutMs ?? service.timeoutMs,
    service.timeoutMs,
  );
  return {
    requestId: request.requestId,
    organisation: organisation.name,
    service: service.name,
    kind: service.kind,
    ...(request.adapter === undefined ? {} : {adapter: request.adapter}),
    promptTokens: request.promptTokens,
    ...(request.maxOutputTokens === undefined
      ? {}
      : {maxOutputTokens: request.maxOutputTokens}),
    stream: request.stream,
    deterministic: request.deterministic,
    unrepeatable,
    ...(unrepeatable
      ? {onceKey: digest<OnceKey>([...scope, request.idempotencyKey!])}
      : {}),
    bodyDigest: request.bodyDigest,
    fingerprint: digest<Fingerprint>([...scope, request.bodyDigest]),
    prefixHashes: request.prefixHashes,
    priority: service.priority + Math.min(0, request.priority ?? 0),
    arrivedAtMs: step.nowMs,
    deadlineAtMs: step.nowMs + timeoutMs,
  };
}

function digest<T extends OnceKey | Fingerprint>(parts: string[]): T {
  const text = JSON.stringify(parts);
  return makeId<T>(hash('sha256', text, 'hex'));
}

function hasAdapter(service: ServiceConfig, adapter: string): boolean {
  return service.kind === 'model' && service.adapters.includes(adapter);
}

function refuse(
  name: Parameters<typeof createRefusal>[0],
  params: Record<string, string>,
): Refusal {
  return createRefusal(name, 'not-run', {params});
}
