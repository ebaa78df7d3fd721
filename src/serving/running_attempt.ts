import {request} from 'node:http';
import type {Agent, ClientRequest, IncomingMessage} from 'node:http';
import type {AttemptId} from '../core/ids/index.js';
import type {AttemptFault} from '../core/serving/types.js';
import type {CallerCall} from './caller_call.js';
import type {ServingContext} from './types.js';
import type {Upstream} from './upstream.js';
import type {UpstreamFault} from './upstream_fault.js';
import {
  BodyEnd,
  BodyParts,
  ResponseSizeLimit,
  isHeaderText,
  splitAddress,
} from '../http/index.js';
import {EventSplitter} from '../targets/event_splitter.js';
import type {BufferBudget} from './buffer_budget.js';
import {isSuccess} from './is_success.js';
import {findLastEventId} from './find_last_event_id.js';

/** Timeout for connecting to a target; some hundred times the usual connect time. */
const CONNECT_TIMEOUT_MS = 300;
/** The largest response head that the HTTP parser accepts, and what may precede it. */
const MAX_HEAD_BYTES = 64 * 1024;
/** Bytes that a target may send without progress for the caller, or around the parts of a buffered body; room for several of the longest events. */
const MAX_BYTES_WITHOUT_PROGRESS = 256 * 1024;
/** An event has a few hundred bytes; a hundred streams that each buffer this much of one fit into the memory of the smallest node. */
const MAX_EVENT_BYTES = 128 * 1024;
/** Reading a refusal that is larger, or takes longer, costs more than a new connection. */
const MAX_REFUSAL_BYTES = 16 * 1024;
const REFUSAL_TIMEOUT_MS = 250;
/** Lower ones are interim responses, which the HTTP client handles, or no status at all; higher ones are not defined either (RFC 9110, section 15). */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;
/** Engines send a few at most; one that sends them without end is no answer. */
const MAX_INTERIM_RESPONSES = 32;
const MIN_SERVER_ERROR_STATUS = 500;

interface AttemptOptions {
  /** Undefined for a new connection that is not reused. */
  readonly agent?: Agent;
  readonly bufferBudget: BufferBudget;
  /** Called when the attempt has ended or failed, but not after `cancel`. */
  readonly onEnd: () => void;
}

/** One dispatch of a request to a target or another node, from connecting to the end of the response. */
export class RunningAttempt {
  private outgoing?: ClientRequest;
  private isOver = false;
  private isConnected = false;
  /** The body has ended with its connection, so that the connection's end is no failure. */
  private isBodyEnded = false;
  private deliver?: () => void;
  /** Counts the bytes of a buffered body, also after its connection has closed. */
  private buffer?: {close(): void};
  /** Last time at which the target's process is known to have run. */
  private aliveAtMs = -Infinity;
  private wasPaused = false;
  /** Claims on the caller's response that this attempt knows of. */
  private claimCount = 0;
  private cancelConnectTimer?: () => void;
  private limit?: ResponseSizeLimit;
  private bodyEnd?: BodyEnd;

  constructor(
    private readonly context: ServingContext,
    private readonly call: CallerCall,
    private readonly upstream: Upstream,
    private readonly options: AttemptOptions,
  ) {}

  get attemptId(): AttemptId {
    return this.upstream.attemptId;
  }

  start(): void {
    if (this.isOver) return;
    try {
      this.send();
    } catch (error) {
      // Nothing was written: the request line and the headers are checked first.
      this.fail('unsendable', {detail: String(error)});
    }
  }

  private send(): void {
    const {context, call, upstream} = this;
    this.claimCount = call.claimCount;
    const {host, port} = splitAddress(upstream.address);
    const headers = upstream.createHeaders(call);
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
      this.failGarbled('bytes without end'),
    );
    outgoing.setNoDelay(true);
    outgoing.on('socket', socket => {
      if (!socket.connecting) {
        this.isConnected = true;
        return;
      }
      const startedAtMs = context.clock.nowMs();
      this.cancelConnectTimer = context.catchUp.startTimeout(
        CONNECT_TIMEOUT_MS,
        () => outgoing.destroy(new Error('connect timeout')),
      );
      socket.once('connect', () => {
        this.isConnected = true;
        this.cancelConnectTimer?.();
        if (this.isOver) return;
        upstream.handleConnect(context.clock.nowMs() - startedAtMs);
      });
    });
    let interimResponses = 0;
    outgoing.on('information', () => {
      interimResponses += 1;
      if (interimResponses <= MAX_INTERIM_RESPONSES) return;
      this.failGarbled('interim responses without end');
    });
    outgoing.on('response', response => this.handleResponse(response));
    outgoing.on('error', error => this.failConnection(error.message));
    outgoing.end(call.body);
  }

  /** Takes note that the target's process is running: what it sends is read as it comes. */
  private recordAlive(): void {
    if (!this.wasPaused) this.aliveAtMs = this.context.clock.nowMs();
  }

  /** Stops reading until the caller has read what it was sent. */
  private pause(response: IncomingMessage): void {
    this.wasPaused = true;
    response.pause();
    this.call.onDrain(() => response.resume());
  }

  /** Aborts the attempt without dispatching an event; the target stops its work when the connection closes. */
  cancel(): void {
    this.isOver = true;
    this.cancelConnectTimer?.();
    this.buffer?.close();
    this.outgoing?.destroy();
  }

  /** Another attempt of the request has sent a part of the response since this one last did, or started: what this one would send is no longer the next part. */
  private get isOvertaken(): boolean {
    return this.call.claimCount !== this.claimCount;
  }

  /** Claims the next part of the caller's response. An attempt that was overtaken ends; the reducer learns of the other's event. */
  private claim(): boolean {
    if (this.isOvertaken) {
      this.cancel();
      return false;
    }
    this.call.claimCount += 1;
    this.claimCount = this.call.claimCount;
    return true;
  }

  private handleResponse(response: IncomingMessage): void {
    const {call, upstream} = this;
    const status = response.statusCode ?? 0;
    response.on('error', error => this.failConnection(error.message));
    response.on('close', () => this.failConnection('connection closed'));
    if (status < MIN_FINAL_STATUS || status > MAX_FINAL_STATUS) {
      this.failGarbled(`status ${status}`);
      return;
    }
    const isReused = this.outgoing?.reusedSocket === true;
    const found = upstream.checkHead(response, call, isReused);
    if (found) {
      const {fault, isDrained, ...more} = found;
      if (isDrained) this.drainRefusal(response);
      else this.outgoing?.destroy();
      this.fail(fault, more);
      return;
    }
    this.limit?.reset(MAX_BYTES_WITHOUT_PROGRESS);
    this.bodyEnd = new BodyEnd(response, call.method);
    if (this.bodyEnd.isConnectionEnd) {
      this.recordAlive();
      response.on('data', () => this.recordAlive());
    }
    if (upstream.isStream && isSuccess(status)) {
      this.forwardStream(response);
      return;
    }
    this.forwardBuffered(response);
  }

  private forwardStream(response: IncomingMessage): void {
    const {context, call, upstream} = this;
    const splitter = new EventSplitter(MAX_EVENT_BYTES);
    /** Comment events, buffered until an event with data arrives. */
    let pending: Buffer[] = [];
    const headers = upstream.selectHeaders(response.headers);
    const status = response.statusCode ?? 200;
    response.on('data', (chunk: Buffer) => {
      if (this.isOver) return;
      const {events: complete, count} = splitter.split(chunk);
      if (splitter.overflows) {
        this.failGarbled('event without end');
        return;
      }
      if (complete.length > 0) pending.push(complete);
      if (count === 0) return;
      this.limit?.reset();
      const events = pending.length === 1 ? complete : Buffer.concat(pending);
      pending = [];
      const lastEventId = findLastEventId(events) ?? call.lastEventId;
      if (upstream.isResumable && !isHeaderText(lastEventId ?? '')) {
        this.failGarbled('event id can not be sent on');
        return;
      }
      if (!this.claim()) return;
      call.writeHead(status, headers);
      call.lastEventId = lastEventId;
      if (!call.write(events)) this.pause(response);
      context.events.dispatch({
        type: 'attemptProgress',
        attemptId: upstream.attemptId,
        eventCount: count,
        ...(this.wasPaused ? {isDelayed: true} : {}),
      });
    });
    response.on('end', () => {
      if (this.isOver) return;
      if (!splitter.isBetweenEvents) {
        this.failConnection('stream ended inside an event');
        return;
      }
      this.endBody(() => {
        if (!this.claim()) return;
        call.writeHead(status, headers);
        for (const events of pending) call.write(events);
        call.finish();
        this.end(status);
      });
    });
  }

  private forwardBuffered(response: IncomingMessage): void {
    const {call, upstream} = this;
    const status = response.statusCode ?? 0;
    const parts = new BodyParts();
    const buffer = this.options.bufferBudget.open();
    this.buffer = buffer;
    response.on('close', () => {
      if (!this.deliver) buffer.close();
    });
    response.on('data', (chunk: Buffer) => {
      if (this.isOver) return;
      if (!buffer.add(chunk.length)) {
        this.failGarbled('answer too large');
        return;
      }
      this.limit?.subtract(chunk.length);
      parts.add(chunk);
    });
    response.on('end', () => {
      if (this.isOver) return;
      this.endBody(() => {
        const headers = upstream.selectHeaders(response.headers);
        const body = parts.join();
        if (
          call.isHeadSent ||
          (status >= MIN_SERVER_ERROR_STATUS && upstream.keepsErrors)
        ) {
          if (this.isOvertaken) {
            this.cancel();
            return;
          }
          call.storeFailure(status, headers, body);
          this.fail('failed', {status});
          return;
        }
        if (!this.claim()) return;
        call.send(status, headers, body);
        this.end(status);
      });
    });
  }

  /** Handles the end of the body: `deliver` completes the caller's response, if the body is complete. */
  private endBody(deliver: () => void): void {
    const {kind} = this.bodyEnd!;
    if (kind === 'early' || kind === 'reset') {
      this.failConnection(`response ended: ${kind}`);
      return;
    }
    if (kind !== 'close') {
      deliver();
      return;
    }
    this.isBodyEnded = true;
    this.deliver = deliver;
    const {context, aliveAtMs} = this;
    const {attemptId} = this.upstream;
    const aliveMs = context.clock.nowMs() - aliveAtMs;
    context.events.dispatch({type: 'attemptClosed', attemptId, aliveMs});
  }

  /** Completes the caller's response after its body closed. */
  finishClosed(): void {
    if (this.isOver) return;
    this.deliver?.();
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

  /** Fails the attempt because of bytes that are no valid response, or too many. */
  private failGarbled(detail: string): void {
    this.outgoing?.destroy();
    this.fail('garbled', {detail});
  }

  private end(status: number): void {
    if (this.isOver) return;
    this.isOver = true;
    this.buffer?.close();
    this.options.onEnd();
    const {attemptId} = this.upstream;
    const bodyEnd = this.bodyEnd?.kind;
    this.context.events.dispatch({
      type: 'attemptEnded',
      attemptId,
      status,
      bodyEnd,
    });
  }

  /** Fails the attempt because of a connection error; before the connection is up, nothing was sent. */
  private failConnection(detail: string): void {
    if (this.isBodyEnded) return;
    this.fail(this.isConnected ? 'broken' : 'not-sent', {detail});
  }

  private fail(
    fault: AttemptFault,
    more: Omit<UpstreamFault, 'fault' | 'isDrained'>,
  ): void {
    if (this.isOver) return;
    this.isOver = true;
    this.cancelConnectTimer?.();
    this.buffer?.close();
    this.options.onEnd();
    if (fault !== 'turned-away') this.outgoing?.destroy();
    const {attemptId} = this.upstream;
    this.context.events.dispatch({
      type: 'attemptFailed',
      attemptId,
      fault,
      ...more,
    });
  }
}
