import {randomUUID} from 'node:crypto';
import type {Effect, EffectOf} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import type {ErrorName, Refusal} from '../core/errors/types.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {OperationId} from '../core/ids/index.js';
import type {OperatorRequest} from '../core/operators/types.js';
import {OPERATOR_REQUEST_SCHEMA} from './operator_request_schema.js';
import {checkOperatorToken} from './check_operator_token.js';
import {createRefusal} from '../core/errors/index.js';
import {makeId} from '../core/ids/index.js';
import {readBody, sendJson, sendRefusal} from '../http/index.js';

const ANSWER_TIMEOUT_MS = 15_000;
const OPERATOR_HEADER = 'rhubarbstile-operator';
const UNNAMED_OPERATOR = 'operator';
const OPERATOR_NAME = /^[\w.@+-]{1,64}$/;

interface OpenCall {
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

/** HTTP API under `/operator/`: checks the operator token and dispatches requests to the core. */
export class OperatorApi implements EffectHandler {
  readonly types = ['operatorAnswer'] as const;
  private readonly open = new Map<OperationId, OpenCall>();

  constructor(private readonly context: NodeContext) {}

  /** Answers one HTTP request whose path starts with `/operator/`. */
  serve(request: IncomingMessage, response: ServerResponse): void {
    const refusal = this.checkHead(request);
    if (refusal) {
      // The body was not read, so the connection cannot serve another request.
      response.setHeader('connection', 'close');
      sendRefusal(response, refusal);
      return;
    }
    void this.serveChecked(request, response);
  }

  handle(effect: Effect): void {
    const {operationId, answer} = effect as EffectOf<'operatorAnswer'>;
    const call = this.take(operationId);
    if (!call) return;
    if (answer.kind === 'ok') {
      sendJson(call.response, 200, {data: answer.data});
    } else {
      sendRefusal(call.response, answer.refusal, answer.details);
    }
  }

  async close(): Promise<void> {
    for (const operationId of [...this.open.keys()]) {
      const params = {reason: 'it has ended'};
      const refusal = createRefusal('NodeNotReady', 'may-have-run', {params});
      sendRefusal(this.take(operationId)!.response, refusal);
    }
  }

  destroy(): void {
    for (const operationId of [...this.open.keys()]) {
      this.take(operationId)!.response.destroy();
    }
  }

  private checkHead(request: IncomingMessage): Refusal | undefined {
    const {secrets} = this.context.settings;
    const {authorization} = request.headers;
    if (!checkOperatorToken(authorization, secrets.operatorTokenSha256)) {
      return refuse('OperatorNotAuthenticated');
    }
    if (request.method === 'POST') return undefined;
    return refuse('MethodNotAllowed', {
      method: request.method ?? '',
      path: request.url ?? '',
      allowed: 'POST',
    });
  }

  private async serveChecked(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const limitBytes = this.context.settings.limits.maxBodyBytes;
    const body = await readBody(request, limitBytes);
    if (body instanceof Buffer) {
      const parsed = parseRequest(request.url ?? '', body);
      if ('status' in parsed) sendRefusal(response, parsed);
      else this.ask(parsed, readOperator(request), response);
    } else if (body === 'too-large') {
      response.setHeader('connection', 'close');
      sendRefusal(response, refuse('BodyTooLarge', {limitBytes}));
    } else {
      response.destroy();
    }
  }

  private ask(
    request: OperatorRequest,
    operator: string,
    response: ServerResponse,
  ): void {
    const operationId = makeId<OperationId>(`operator-${randomUUID()}`);
    const timer = setTimeout(
      () => this.expire(operationId, request.kind),
      ANSWER_TIMEOUT_MS,
    );
    this.open.set(operationId, {response, timer});
    response.on('close', () => this.take(operationId));
    this.context.events.dispatch({
      type: 'operatorAsked',
      operationId,
      operator,
      request,
    });
  }

  private expire(operationId: OperationId, kind: string): void {
    const call = this.take(operationId);
    if (!call) return;
    const params = {kind, timeoutMs: ANSWER_TIMEOUT_MS};
    const refusal = createRefusal('OperatorTimeout', 'may-have-run', {params});
    sendRefusal(call.response, refusal);
  }

  private take(operationId: OperationId): OpenCall | undefined {
    const call = this.open.get(operationId);
    if (!call) return undefined;
    this.open.delete(operationId);
    clearTimeout(call.timer);
    return call;
  }
}

/** Builds a request from the kind in the path and the fields in the body. */
function parseRequest(url: string, body: Buffer): OperatorRequest | Refusal {
  const kind = url.split('?', 1)[0]!.slice('/operator/'.length);
  let fields: unknown;
  try {
    fields = body.length > 0 ? JSON.parse(body.toString()) : {};
  } catch {
    return refuse('BadRequest', {reason: 'The body is not JSON.'});
  }
  if (typeof fields !== 'object' || fields === null || Array.isArray(fields)) {
    return refuse('BadRequest', {reason: 'The body is not a JSON object.'});
  }
  const parsed = OPERATOR_REQUEST_SCHEMA.safeParse({...fields, kind});
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0]!;
  if (issue.path[0] === 'kind') return refuse('PathNotFound', {path: url});
  const reason = `${issue.path.join('.') || 'body'}: ${issue.message}`;
  return refuse('BadRequest', {reason});
}

function readOperator(request: IncomingMessage): string {
  const name = String(request.headers[OPERATOR_HEADER] ?? '');
  return OPERATOR_NAME.test(name) ? name : UNNAMED_OPERATOR;
}

function refuse(
  name: ErrorName,
  params: Readonly<Record<string, string | number>> = {},
): Refusal {
  return createRefusal(name, 'not-run', {params});
}
