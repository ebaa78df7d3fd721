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

/** HTTP server for callers: admits requests and owns their responses. */
export class CallerServer implements EffectHandler, AnswerSource {
  readonly types = [
    'refuse',
    'answerKept',
    'finishAnswer',
    'closeIdleConnections',
  ] as const;
  private readonly server: Server;
  private readonly answers = new Map<RequestId, CallerAnswer>();
  /** Responses that are not completely sent yet. */
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
      this.handleRequest(request, response);
    });
    this.server.on('checkContinue', (request, response) => {
      this.handleRequest(request, response);
    });
    this.server.on('clientError', (error, socket) => {
      refuseConnection(error, socket, this.nextRequestId(), limits);
    });
  }

  find(requestId: RequestId): OpenAnswer | undefined {
    return this.answers.get(requestId);
  }

  /** Listens on the caller address of the settings; rejects when it is in use. */
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
        return this.removeAnswer(effect.requestId)?.refuse(effect);
      case 'answerKept':
        return this.removeAnswer(effect.requestId)?.sendStored(effect);
      case 'finishAnswer':
        return this.removeAnswer(effect.requestId)?.finish();
      case 'closeIdleConnections':
        return this.server.closeIdleConnections();
      default:
    }
  }

  /** Accepts no new connections; resolves when the open responses are sent. */
  close(): Promise<void> {
    const {idleTimeoutMs} = this.context.settings.limits;
    for (const response of this.open) {
      response.setTimeout(idleTimeoutMs); // closes the connection of a caller that stopped reading
    }
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Closes all connections at once. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private removeAnswer(requestId: RequestId): CallerAnswer | undefined {
    const answer = this.answers.get(requestId);
    this.answers.delete(requestId);
    return answer;
  }

  private handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {context} = this;
    this.trackResponse(response);
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

  private trackResponse(response: ServerResponse): void {
    const {drain} = this.context.state;
    if (drain.draining) response.shouldKeepAlive = false;
    this.open.add(response);
    response.on('error', ignoreError); // the connection was lost; `close` follows
    response.on('close', () => {
      this.open.delete(response);
      if (!drain.draining) return;
      // A head sent before the drain may have announced keep-alive.
      setImmediate(() => this.server.closeIdleConnections());
    });
  }

  private refuseBody(
    response: ServerResponse,
    requestId: RequestId,
    refusal: Refusal,
  ): void {
    response.shouldKeepAlive = false; // the rest of the body is not read
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
      isKeepAliveAllowed: () => !state.drain.draining,
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
