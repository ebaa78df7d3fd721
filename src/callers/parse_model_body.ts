import {err, ok, type Result} from 'neverthrow';
import type {CallerRequest} from '../core/requests/types.js';
import type {Refusal} from '../core/errors/index.js';
import {createRefusal} from '../core/errors/index.js';
import {createPrefixHashes} from '../targets/create_prefix_hashes.js';
import {resolvePrompt} from '../targets/resolve_prompt.js';

const CHARS_PER_TOKEN = 4;

type ModelFields = Pick<
  CallerRequest,
  | 'service'
  | 'adapter'
  | 'promptTokens'
  | 'maxOutputTokens'
  | 'stream'
  | 'deterministic'
  | 'prefixHashes'
>;

interface ModelJson {
  readonly model?: unknown;
  readonly messages?: readonly {role?: unknown; content?: unknown}[];
  readonly prompt?: unknown;
  readonly adapter?: unknown;
  readonly stream?: unknown;
  readonly max_tokens?: unknown;
  readonly max_completion_tokens?: unknown;
  readonly temperature?: unknown;
  readonly seed?: unknown;
}

/** Parses the fields of a model request's body that scheduling and routing need. */
export function parseModelBody(body: Buffer): Result<ModelFields, Refusal> {
  const json = parseObject(body);
  if (!json) return refuse('The body is not a JSON object.');
  const {model, adapter, stream, temperature, seed} = json;
  if (typeof model !== 'string' || model === '') {
    return refuse('The field "model" must name a service.');
  }
  if (adapter !== undefined && typeof adapter !== 'string') {
    return refuse('The field "adapter" must be a string.');
  }
  if (stream !== undefined && typeof stream !== 'boolean') {
    return refuse('The field "stream" must be true or false.');
  }
  const maxOutputTokens = json.max_completion_tokens ?? json.max_tokens;
  if (maxOutputTokens !== undefined && !isCount(maxOutputTokens)) {
    return refuse('The field "max_tokens" must be a positive whole number.');
  }
  if (!hasMessages(json)) {
    return refuse('The field "messages" must be a list of objects.');
  }
  const prompt = resolvePrompt(json);
  return ok({
    service: model,
    ...(adapter === undefined ? {} : {adapter}),
    promptTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN),
    ...(maxOutputTokens === undefined ? {} : {maxOutputTokens}),
    stream: stream === true,
    deterministic: temperature === 0 || seed !== undefined,
    prefixHashes: createPrefixHashes(prompt),
  });
}

function parseObject(body: Buffer): ModelJson | undefined {
  try {
    const json: unknown = JSON.parse(body.toString());
    const isObject = typeof json === 'object' && json !== null;
    return isObject && !Array.isArray(json) ? json : undefined;
  } catch {
    return undefined;
  }
}

function hasMessages({messages}: ModelJson): boolean {
  if (messages === undefined) return true;
  const isObject = (one: unknown) => typeof one === 'object' && one !== null;
  return Array.isArray(messages) && messages.every(isObject);
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) > 0;
}

function refuse(reason: string): Result<never, Refusal> {
  return err(createRefusal('BadRequest', 'not-run', {params: {reason}}));
}
