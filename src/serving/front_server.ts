import {randomBytes} from 'node:crypto';
import type {EffectHandler} from '../runtime/types.js';
import type {RequestId} from '../core/ids/index.js';
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  Server,
  ServerResponse,
} from 'node:http';
import type {CallerHead, ServingContext} from './types.js';
import type {ServingEffect} from '../core/serving/types.js';
import type {ForwardSource} from '../core/serving/forwarding/types.js';
import {BodyBudget} from './clients/body_budget.js';
import {UnreadAnswers} from './clients/unread_answers.js';
import {createLimitedServer} from './clients/create_limited_server.js';
import {fingerprintOf} from './clients/fingerprint_of.js';
import {headerBytesOf} from './clients/header_bytes_of.js';
import {hostOf} from './clients/host_of.js';
import {forwardHeaders} from './forward_headers.js';
import {CallerCall} from './caller_call.js';
import {listenOn} from './listen_on.js';
import {makeId} from '../core/ids/index.js';
import {isRequestPath, readBody} from '../http/index.js';

/** Defaults until the first configuration has been read. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADERS_TIMEOUT_MS = 3000;
/** The HTTP parser rejects larger headers, whatever the configuration allows. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Bodies in front of a refused one are sent on, and their requests answered, within about this time. */
const BODY_RETRY_AFTER_MS = 500;

type Refusal = Pick<
  Extract<ServingEffect, {type: 'refuse'}>,
  'status' | 'reason' | 'retryAfterMs'
>;

/** A request with its body fully received. */
interface ReceivedRequest {
  readonly head: CallerHead;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  readonly forwarded?: ForwardSource;
}

/** HTTP server for callers: accepts their requests and sends the responses. */
export class FrontServer implements EffectHandler<ServingEffect> {
  readonly types = ['refuse', 'cutAnswer'] as const;
  private readonly calls = new Map<RequestId, CallerCall>();
  private readonly server: Server;
  /** For requests that other nodes pass on. */
  private readonly forwardServer: Server;
  private readonly bodies: BodyBudget;
  private readonly unread: UnreadAnswers;
  private count = 0;
  /** Part of every request id; distinguishes the ids of this process from those after a restart. */
  private readonly incarnation = randomBytes(3).toString('hex');

  constructor(private readonly context: ServingContext) {
    const {connections, limits, limitLog, clock} = context.clients;
    this.bodies = new BodyBudget(limits, clock, limitLog);
    this.unread = new UnreadAnswers(limits, clock, limitLog);
    connections.onFull(listener => this.bodies.endStalled(listener));
    const options = {maxHeaderSize: MAX_HEADER_BYTES};
    this.server = createLimitedServer(
      connections,
      'callers',
      (request, response) => void this.handleRequest(request, response),
      options,
    );
    this.forwardServer = createLimitedServer(
      connections,
      'forwards',
      (request, response) => {
        const source = forwardHeaders.takeRequest(request.headers);
        if (source) void this.handleRequest(request, response, source);
        else response.writeHead(404, {connection: 'close'}).end();
      },
      options,
    );
  }

  async listen(): Promise<void> {
    const {callers, forwards} = this.context.settings.listen;
    await Promise.all([
      listenOn(this.server, callers),
      listenOn(this.forwardServer, forwards),
    ]);
  }

  /** Returns an open request; undefined once its response has ended. */
  findCall(requestId: RequestId): CallerCall | undefined {
    return this.calls.get(requestId);
  }

  handle(effect: ServingEffect): void {
    if (effect.type === 'cutAnswer') {
      this.calls.get(effect.requestId)?.abort();
      return;
    }
    if (effect.type !== 'refuse') return;
    const call = this.calls.get(effect.requestId);
    if (!call) return;
    const {status, reason} = effect;
    if (reason === 'target-failed' && call.sendFailure()) return;
    const headers = this.createRefusalHeaders(call, effect);
    call.send(status, headers, Buffer.from(JSON.stringify({error: reason})));
  }

  /** Ends the bodies that have made no progress for too long. */
  sweep(): void {
    this.bodies.sweep();
  }

  /** Closes the listener and idle connections; connections with a request in progress stay open. */
  stopListening(): void {
    for (const server of [this.server, this.forwardServer]) {
      server.close();
      server.closeIdleConnections();
    }
  }

  close(): Promise<void> {
    this.stopListening();
    for (const call of this.calls.values()) call.abort();
    // Resets of responses without a length follow their last bytes.
    return new Promise(resolve =>
      setImmediate(() => {
        this.server.closeAllConnections();
        this.forwardServer.closeAllConnections();
        resolve();
      }),
    );
  }

  destroy(): void {
    void this.close();
  }

  private createRefusalHeaders(
    {callerId, isForwarded}: Pick<CallerCall, 'callerId' | 'isForwarded'>,
    {status, reason, retryAfterMs}: Refusal,
  ): OutgoingHttpHeaders {
    return {
      ...this.context.wire.callers.writeRefusal(callerId, retryAfterMs),
      ...(isForwarded
        ? forwardHeaders.writeRefusal(status, reason, retryAfterMs)
        : {}),
    };
  }

  private async handleRequest(
    message: IncomingMessage,
    response: ServerResponse,
    forwarded?: ForwardSource,
  ): Promise<void> {
    const {context} = this;
    const arrivedAtMs = context.clock.nowMs();
    const limits = context.state.config?.limits;
    for (const server of [this.server, this.forwardServer]) {
      server.keepAliveTimeout =
        limits?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
      server.headersTimeout =
        limits?.headerTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS;
    }
    response.sendDate = false;
    const head = context.wire.callers.readCaller(message.headers);
    const headerBytes = headerBytesOf(message);
    if (headerBytes > (limits?.maxHeaderBytes ?? MAX_HEADER_BYTES)) {
      context.logger.write('info', 'requests', 'headers too large', {
        callerId: head.callerId,
        headerBytes,
      });
      response.writeHead(431, {connection: 'close'}).end();
      return;
    }
    if (!isRequestPath(message.url ?? '/')) {
      context.logger.write('info', 'requests', 'path of invalid characters', {
        callerId: head.callerId,
      });
      response.writeHead(400, {connection: 'close'}).end();
      return;
    }
    const listener = forwarded ? 'forwards' : 'callers';
    const reservation = this.bodies.open(listener);
    response.on('close', () => reservation.close());
    const body = await readBody(
      message,
      limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      reservation,
    );
    reservation.complete();
    if (body === 'too-large') {
      context.logger.write('info', 'requests', 'body too large', {
        callerId: head.callerId,
      });
      response.writeHead(413, {connection: 'close'}).end();
      return;
    }
    if (body === 'no-memory') {
      context.logger.write('warn', 'requests', 'no memory for request body', {
        callerId: head.callerId,
      });
      const headers = this.createRefusalHeaders(
        {callerId: head.callerId, isForwarded: forwarded !== undefined},
        {status: 503, reason: 'overloaded', retryAfterMs: BODY_RETRY_AFTER_MS},
      );
      response.writeHead(503, {...headers, connection: 'close'}).end();
      return;
    }
    if (body === 'stalled') {
      context.logger.write('info', 'requests', 'request body stalled', {
        callerId: head.callerId,
      });
      response.writeHead(408, {connection: 'close'}).end();
      return;
    }
    if (body === 'broken') {
      context.logger.write('info', 'requests', 'request body ended early', {
        callerId: head.callerId,
      });
      response.destroy();
      return;
    }
    context.catchUp.run(() =>
      this.open(message, response, {head, body, arrivedAtMs, forwarded}),
    );
  }

  private open(
    message: IncomingMessage,
    response: ServerResponse,
    {head, body, arrivedAtMs, forwarded}: ReceivedRequest,
  ): void {
    const {context} = this;
    this.count += 1;
    const {nodeId} = context.settings;
    const requestId = makeId<RequestId>(
      `${nodeId}.${this.incarnation}.${this.count.toString(36)}`,
    );
    const path = message.url ?? '/';
    const call = new CallerCall(
      message.method ?? 'GET',
      path,
      message.headers,
      body,
      head.callerId,
      response,
      () => context.state.leavingSinceMs !== undefined,
      forwarded !== undefined,
      message.socket,
    );
    if (call.hasLeft) {
      context.logger.write('info', 'requests', 'caller left unread request', {
        callerId: head.callerId,
        ageMs: Math.round(context.clock.nowMs() - arrivedAtMs),
      });
      return;
    }
    call.lastEventId = head.lastEventId;
    this.calls.set(requestId, call);
    const unread = this.unread.open(forwarded ? 'forwards' : 'callers', () =>
      message.socket.destroy(),
    );
    call.unread = unread;
    response.on('close', () => {
      unread.close();
      this.calls.delete(requestId);
      if (call.isEnded) return;
      call.isEnded = true;
      context.events.dispatch({type: 'callerGone', requestId});
    });
    context.sharedTimer.wake();
    context.events.dispatch({
      type: 'requestArrived',
      request: {
        requestId,
        callerId: head.callerId,
        host: hostOf(message.headers.host),
        path,
        apiKey: head.apiKey,
        callerTimeoutMs: head.callerTimeoutMs,
        arrivedAtMs,
        model: head.model,
        promptTokens: head.promptTokens,
        sharedPartIds: head.sharedPartIds,
        fingerprint: fingerprintOf(path, head, body),
        ...(forwarded ? {forwarded} : {}),
      },
    });
  }
}
