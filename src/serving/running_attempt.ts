import {request} from 'node:http';
import type {Agent, ClientRequest, IncomingMessage} from 'node:http';
import type {AttemptFault, ServingEffect} from '../core/serving/types.js';
import type {CallerCall} from './caller_call.js';
import type {ServingContext, TargetHead} from './types.js';
import {ResponseSizeLimit, splitAddress} from '../http/index.js';
import {EventSplitter} from '../targets/event_splitter.js';
import type {ResponseBufferBudget} from './response_buffer_budget.js';
import {dispatchAnnouncement} from './dispatch_announcement.js';
import {findLastEventId} from './find_last_event_id.js';

/** Timeout for connecting to a target; some hundred times the usual connect time. */
const CONNECT_TIMEOUT_MS = 300;
/** The largest response head that the HTTP parser accepts, and what may precede it. */
const MAX_HEAD_BYTES = 64 * 1024;
/** Bytes that a target may send without progress for the caller; room for several of the longest events. */
const MAX_BYTES_WITHOUT_PROGRESS = 256 * 1024;
/** An event has a few hundred bytes; a hundred streams that each buffer this much of one fit into the memory of the smallest node. */
const MAX_EVENT_BYTES = 128 * 1024;
/** Reading a refusal that is larger, or takes longer, costs more than a new connection. */
const MAX_REFUSAL_BYTES = 16 * 1024;
const REFUSAL_TIMEOUT_MS = 250;
const MIN_SERVER_ERROR_STATUS = 500;

type StartAttempt = Extract<ServingEffect, {type: 'startAttempt'}>;

interface AttemptOptions {
  /** Undefined for a new connection that is not reused. */
  readonly agent?: Agent;
  readonly bufferBudget: ResponseBufferBudget;
  /** Called when the attempt has ended or failed, but not after `cancel`. */
  readonly onEnd: () => void;
}

/** One dispatch of a request to a target, from connecting to the end of the response. */
export class RunningAttempt {
  private outgoing?: ClientRequest;
  private isOver = false;
  private isConnected = false;
  private connectTimer?: NodeJS.Timeout;
  private limit?: ResponseSizeLimit;

  constructor(
    private readonly context: ServingContext,
    private readonly call: CallerCall,
    private readonly effect: StartAttempt,
    private readonly options: AttemptOptions,
  ) {}

  start(): void {
    const {context, call, effect} = this;
    const {host, port} = splitAddress(effect.address);
    const headers = context.wire.callers.writeAttempt(call.headers, {
      vmId: effect.vmId,
      organisation: effect.organisation,
      targetTimeoutMs: effect.targetTimeoutMs,
      urgency: effect.urgency,
      lastEventId: call.lastEventId,
    });
    if (call.body.length > 0 || call.method === 'POST') {
      headers['content-length'] = call.body.length;
    }
    const outgoing = request({
      host,
      port,
      method: call.method,
      path: call.path,
      headers,
      agent: this.options.agent ?? false,
    });
    this.outgoing = outgoing;
    this.limit = new ResponseSizeLimit(outgoing, MAX_HEAD_BYTES, () =>
      this.failOversized('bytes without end'),
    );
    outgoing.setNoDelay(true);
    outgoing.on('socket', socket => {
      if (!socket.connecting) {
        this.isConnected = true;
        return;
      }
      const startedAtMs = context.clock.nowMs();
      this.connectTimer = setTimeout(
        () => outgoing.destroy(new Error('connect timeout')),
        CONNECT_TIMEOUT_MS,
      );
      socket.once('connect', () => {
        this.isConnected = true;
        clearTimeout(this.connectTimer);
        if (this.isOver) return;
        const connectMs = context.clock.nowMs() - startedAtMs;
        const {vmId} = effect;
        context.events.dispatch({type: 'engineConnected', vmId, connectMs});
      });
    });
    outgoing.on('response', response => this.handleResponse(response));
    outgoing.on('error', error => this.failConnection(error.message));
    outgoing.end(call.body);
  }

  /** Aborts the attempt without dispatching an event; the target stops its work when the connection closes. */
  cancel(): void {
    this.isOver = true;
    clearTimeout(this.connectTimer);
    this.outgoing?.destroy();
  }

  private handleResponse(response: IncomingMessage): void {
    const {context, call, effect} = this;
    const status = response.statusCode ?? 0;
    const head = context.wire.callers.readTarget(status, response.headers);
    response.on('error', error => this.failConnection(error.message));
    response.on('close', () => this.failConnection('connection closed'));
    if (!this.isForThisCall(head)) {
      this.outgoing?.destroy();
      this.fail('garbled', {
        status,
        detail: 'response belongs to another request',
      });
      return;
    }
    dispatchAnnouncement(
      context,
      {vmId: effect.vmId, hasRun: !head.hasNotRun},
      status,
      response.headers,
    );
    this.limit?.reset(MAX_BYTES_WITHOUT_PROGRESS);
    if (head.hasNotRun) {
      this.drainRefusal(response);
      this.fail('turned-away', {status, faultyVmId: head.faultyVmId});
      return;
    }
    if (!head.isSigned && isSuccess(status)) {
      this.outgoing?.destroy();
      this.fail('garbled', {
        status,
        detail: "response lacks the target's signature",
      });
      return;
    }
    if (!isFramed(response)) call.delimitByClose();
    if (effect.isStream && isSuccess(status)) {
      this.forwardStream(response);
      return;
    }
    this.forwardBuffered(response);
  }

  /** Whether a response belongs to this request. On a connection that was used before, one without an id may be a late copy for an earlier request. */
  private isForThisCall({callerId, hasNotRun}: TargetHead): boolean {
    if (callerId !== undefined) return callerId === this.call.callerId;
    return hasNotRun && this.outgoing?.reusedSocket !== true;
  }

  private forwardStream(response: IncomingMessage): void {
    const {context, call, effect} = this;
    const splitter = new EventSplitter(MAX_EVENT_BYTES);
    /** Comment events, buffered until an event with data arrives. */
    let pending: Buffer[] = [];
    const headers = context.wire.callers.selectResponseHeaders(
      response.headers,
    );
    const status = response.statusCode ?? 200;
    response.on('data', (chunk: Buffer) => {
      if (this.isOver) return;
      const {events: complete, count} = splitter.split(chunk);
      if (splitter.overflows) {
        this.failOversized('event without end');
        return;
      }
      if (complete.length > 0) pending.push(complete);
      if (count === 0) return;
      this.limit?.reset();
      const events = pending.length === 1 ? complete : Buffer.concat(pending);
      pending = [];
      call.writeHead(status, headers);
      call.lastEventId = findLastEventId(events) ?? call.lastEventId;
      if (!call.write(events)) {
        response.pause();
        call.onDrain(() => response.resume());
      }
      context.events.dispatch({
        type: 'attemptProgress',
        attemptId: effect.attemptId,
        eventCount: count,
      });
    });
    response.on('end', () => {
      if (this.isOver) return;
      if (!response.complete || !splitter.isBetweenEvents) {
        this.failConnection('stream ended inside an event');
        return;
      }
      call.writeHead(status, headers);
      for (const events of pending) call.write(events);
      call.finish();
      this.end(status);
    });
  }

  private forwardBuffered(response: IncomingMessage): void {
    const {context, call, effect} = this;
    const status = response.statusCode ?? 0;
    const chunks: Buffer[] = [];
    const buffer = this.options.bufferBudget.open();
    response.on('close', () => buffer.close());
    response.on('data', (chunk: Buffer) => {
      if (this.isOver) return;
      if (!buffer.add(chunk.length)) {
        this.failOversized('answer too large');
        return;
      }
      this.limit?.reset();
      chunks.push(chunk);
    });
    response.on('end', () => {
      if (this.isOver) return;
      if (!response.complete) {
        this.failConnection('response ended early');
        return;
      }
      const headers = context.wire.callers.selectResponseHeaders(
        response.headers,
      );
      const body = Buffer.concat(chunks);
      const isRetryable = !effect.needsNewConnection;
      if (
        call.isHeadSent ||
        (status >= MIN_SERVER_ERROR_STATUS && isRetryable)
      ) {
        call.storeFailure(status, headers, body);
        this.fail('failed', {status});
        return;
      }
      call.send(status, headers, body);
      this.end(status);
    });
  }

  /** Reads the rest of a refusal, so that its connection can be reused. */
  private drainRefusal(response: IncomingMessage): void {
    this.limit?.reset(MAX_REFUSAL_BYTES);
    const timer = setTimeout(
      () => this.outgoing?.destroy(),
      REFUSAL_TIMEOUT_MS,
    );
    response.on('close', () => clearTimeout(timer));
    response.resume();
  }

  /** Fails the attempt because of a response that exceeds a size limit. */
  private failOversized(detail: string): void {
    this.outgoing?.destroy();
    this.fail('garbled', {detail});
  }

  private end(status: number): void {
    if (this.isOver) return;
    this.isOver = true;
    this.options.onEnd();
    const {attemptId} = this.effect;
    this.context.events.dispatch({type: 'attemptEnded', attemptId, status});
  }

  /** Fails the attempt because of a connection error; before the connection is up, nothing was sent. */
  private failConnection(detail: string): void {
    this.fail(this.isConnected ? 'broken' : 'not-sent', {detail});
  }

  private fail(
    fault: AttemptFault,
    more: {
      readonly status?: number;
      readonly detail?: string;
      readonly faultyVmId?: RunningAttempt['effect']['vmId'];
    },
  ): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.connectTimer);
    this.options.onEnd();
    if (fault !== 'turned-away') this.outgoing?.destroy();
    const {attemptId} = this.effect;
    this.context.events.dispatch({
      type: 'attemptFailed',
      attemptId,
      fault,
      ...more,
    });
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** Whether the end of the body can be distinguished from a lost connection. */
function isFramed({headers}: IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
