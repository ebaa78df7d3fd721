import {hash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {CallerHead} from './caller_head.js';
import type {Refusal} from '../core/errors/index.js';
import type {RequestId} from '../core/ids/index.js';
import {createRefusal} from '../core/errors/index.js';
import {selectEndToEndHeaders} from './select_end_to_end_headers.js';

const MODEL_PATHS = new Set(['/v1/chat/completions', '/v1/completions']);
const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const BEARER = /^bearer +(\S+)$/i;
const MAX_KEY_CHARS = 255;

type Route = Pick<CallerHead, 'kind' | 'path' | 'service'>;

/** Parses a request's line and headers; the verdict of every refusal is `not-run`. */
export function parseHead(
  request: IncomingMessage,
  requestId: RequestId,
): Result<CallerHead, Refusal> {
  const method = request.method ?? '';
  return parseRoute(method, request.url ?? '').andThen(route =>
    parseOptions(request).map(options => ({
      requestId,
      method,
      headers: selectEndToEndHeaders(request.headers),
      ...route,
      ...options,
    })),
  );
}

function parseRoute(method: string, url: string): Result<Route, Refusal> {
  const queryAt = url.indexOf('?');
  const path = queryAt < 0 ? url : url.slice(0, queryAt);
  if (MODEL_PATHS.has(path)) {
    if (method === 'POST') return ok({kind: 'model', path: url});
    const params = {method, path, allowed: 'POST'};
    return err(createRefusal('MethodNotAllowed', 'not-run', {params}));
  }
  const match = SERVICE_PATH.exec(url);
  const service = match && decode(match[1]!);
  if (!match || !service) {
    return err(createRefusal('PathNotFound', 'not-run', {params: {path}}));
  }
  const targetPath = (match[2] ?? '/') + (match[3] ?? '');
  return ok({kind: 'application', path: targetPath, service});
}

function parseOptions(
  request: IncomingMessage,
): Result<
  Omit<CallerHead, keyof Route | 'requestId' | 'method' | 'headers'>,
  Refusal
> {
  const {headers} = request;
  const deadlineHeader = headers['rhubarbstile-deadline-ms'];
  const timeoutMs =
    deadlineHeader === undefined ? undefined : Number(deadlineHeader);
  if (timeoutMs !== undefined && !(timeoutMs > 0 && timeoutMs < Infinity)) {
    return refuse('The header "rhubarbstile-deadline-ms" must be above 0.');
  }
  const priorityHeader = headers['rhubarbstile-priority'];
  const priority =
    priorityHeader === undefined ? undefined : Number(priorityHeader);
  if (priority !== undefined && !Number.isSafeInteger(priority)) {
    return refuse('The header "rhubarbstile-priority" must be a whole number.');
  }
  const key = headers['idempotency-key'];
  if (Array.isArray(key) || (key && key.length > MAX_KEY_CHARS)) {
    return refuse(
      `The header "Idempotency-Key" may have at most ${MAX_KEY_CHARS} characters.`,
    );
  }
  const tokenSha256 = hashToken(headers.authorization);
  return ok({
    ...(tokenSha256 === undefined ? {} : {tokenSha256}),
    ...(timeoutMs === undefined ? {} : {timeoutMs}),
    ...(priority === undefined ? {} : {priority}),
    ...(key ? {idempotencyKey: key} : {}),
    unrepeatable: headers['rhubarbstile-unrepeatable'] === 'true',
  });
}

function hashToken(authorization: string | undefined): string | undefined {
  const token = authorization && BEARER.exec(authorization)?.[1];
  if (!token) return undefined;
  return hash('sha256', token, 'hex');
}

function decode(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}

function refuse(reason: string): Result<never, Refusal> {
  return err(createRefusal('BadRequest', 'not-run', {params: {reason}}));
}
