import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AnswerSource} from './answer_source.js';
import type {CallerHead} from './caller_head.js';
import type {Effect} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import type {OpenAnswer} from './open_answer.js';
import type {Refusal} from '../core/errors/index.js';
import type {RequestId} from '../core/ids/index.js';
import {CallerAnswer} from './caller_answer.js';
import {checkCaller} from '../core/requests/index.js';
import {createCallerRequest} from './create_caller_request.js';
import {makeId} from '../core/ids/index.js';
import {parseHead} from './parse_head.js';
import {readBody} from './read_body.js';
import {refuseConnection} from './refuse_connection.js';
import {sendInfo} from './send_info.js';
import {sendRefusal} from './send_refusal.js';
import {splitAddress} from '../http/index.js';

const CONNECTION_CHECK_MS = 500;
const MAX_CONNECTIONS = 16_384;

/** HTTP front end for callers. */
export class CallerServer implements EffectHandler, AnswerSource {
  readonly types = [
    'refuse',
    'answerKept',
    'finishAnswer',
    'closeIdleConnections',
  ] as const;
  private readonly server: Server;
  private readonly answers = new Map<RequestId, CallerAnswer>();
  /** Responses whose last byte has not left yet. */
  private readonly open = new Set<ServerResponse>();
  private requestCounter = 0;

  constructor(private readonly context: NodeContext) {
    const {limits} = context.settings;
    this.server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.requestTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      keepAliveTimeout: limits.idleTimeoutMs,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
    });
    this.server.maxConnections = MAX_CONNECTIONS;
    this.server.on('request', (request, response) => {
      this.receive(request, response);
    });
    this.server.on('checkContinue', (request, response) => {
      this.receive(request, response);
    });
    this.server.on('clientError', (error, socket) => {
      refuseConnection(error, socket, this.nextRequestId(), limits);
    });
  }

  find(requestId: RequestId): OpenAnswer | undefined {
    return this.answers.get(requestId);
  }

  /** Opens the caller address of the settings. */
  listen(): Promise<void> {
    const {callerAddress} = this.context.settings.node;
    const {host, port} = splitAddress(callerAddress);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  handle(effect: Effect): void {
    switch (effect.type) {
      case 'refuse':
        return this.takeAnswer(effect.requestId)?.refuse(effect);
      case 'answerKept':
        return this.takeAnswer(effect.requestId)?.sendKept(effect);
      case 'finishAnswer':
        return this.takeAnswer(effect.requestId)?.finish();
      case 'closeIdleConnections':
        return this.server.closeIdleConnections();
      default:
    }
  }

  /** Takes no new connections; ends when the open answers are sent. */
  close(): Promise<void> {
    const {idleTimeoutMs} = this.context.settings.limits;
    for (const response of this.open) {
      response.setTimeout(idleTimeoutMs); // a caller that stopped reading is dropped
    }
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Drops all connections. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private takeAnswer(requestId: RequestId): CallerAnswer | undefined {
    const answer = this.answers.get(requestId);
    this.answers.delete(requestId);
    return answer;
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const {context} = this;
    this.track(response);
    if (sendInfo(context, request, response)) return;
    const requestId = this.nextRequestId();
    const head = parseHead(request, requestId);
    if (head.isErr()) {
      sendRefusal(response, requestId, head.error);
      return;
    }
    const nowMs = context.clock.nowMs();
    const {tokenSha256} = head.value;
    const refused = checkCaller(context.state, tokenSha256, nowMs);
    if (refused) {
      sendRefusal(response, requestId, refused.refusal, refused.entries);
      return;
    }
    if (request.headers.expect !== undefined) response.writeContinue();
    readBody(request, context.settings.limits.maxBodyBytes, body => {
      if (body.isOk()) this.admit(response, head.value, body.value);
      else this.refuseBody(response, requestId, body.error);
    });
  }

  private track(response: ServerResponse): void {
    const {drain} = this.context.state;
    if (drain.draining) response.shouldKeepAlive = false;
    this.open.add(response);
    response.on('error', ignoreError); // the connection broke: `close` follows
    response.on('close', () => {
      this.open.delete(response);
      if (!drain.draining) return;
      // The answer's head may have promised to keep the connection.
      setImmediate(() => this.server.closeIdleConnections());
    });
  }

  private refuseBody(
    response: ServerResponse,
    requestId: RequestId,
    refusal: Refusal,
  ): void {
    response.shouldKeepAlive = false; // what is left of the body is not awaited
    sendRefusal(response, requestId, refusal);
  }

  private admit(
    response: ServerResponse,
    head: CallerHead,
    body: Buffer,
  ): void {
    const {requestId} = head;
    const {events, settings, state} = this.context;
    const request = createCallerRequest(head, body);
    if (request.isErr()) {
      sendRefusal(response, requestId, request.error);
      return;
    }
    const answer = new CallerAnswer(response, {
      head,
      body,
      stream: request.value.stream,
      writeTimeoutMs: settings.limits.idleTimeoutMs,
      mayKeepAlive: () => !state.drain.draining,
    });
    this.answers.set(requestId, answer);
    response.on('close', () => {
      answer.close();
      if (!this.answers.delete(requestId)) return;
      events.dispatch({type: 'callerGone', requestId});
    });
    events.dispatch({type: 'requestArrived', request: request.value});
  }

  private nextRequestId(): RequestId {
    this.requestCounter += 1;
    const counter = this.requestCounter.toString(36);
    const {incarnation} = this.context.state.self;
    return makeId<RequestId>(`${incarnation}/${counter}`);
  }
}

function ignoreError(): void {}
