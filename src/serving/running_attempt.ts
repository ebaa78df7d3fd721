import {request} from 'node:http';
import type {Agent, ClientRequest, IncomingMessage} from 'node:http';
import type {AttemptFault, ServingEffect} from '../core/serving/types.js';
import type {CallerCall} from './caller_call.js';
import type {ServingContext} from './types.js';
import {AnswerLimit, splitAddress} from '../http/index.js';
import {EventSplitter} from '../targets/event_splitter.js';
import type {HeldBytes} from './held_bytes.js';
import {announceEngine} from './announce_engine.js';
import {lastEventIdOf} from './last_event_id_of.js';

/** Time for a connection to a target; some hundred times a usual one. */
const CONNECT_MS = 300;
/** A head of the largest size that the parser takes, and what may come before it. */
const MAX_HEAD_BYTES = 64 * 1024;
/** What may come of an answer without anything of use to the caller: several of the longest events. */
const MAX_USELESS_BYTES = 256 * 1024;
/** An event is a few hundred bytes; a hundred streams that each hold this much of one fit in the smallest node. */
const MAX_EVENT_BYTES = 128 * 1024;
/** A refusal that is longer, or takes longer, costs more than a new connection. */
const MAX_REFUSAL_BYTES = 16 * 1024;
const REFUSAL_MS = 250;
const MIN_SERVER_ERROR = 500;

type StartAttempt = Extract<ServingEffect, {type: 'startAttempt'}>;

interface AttemptOptions {
  /** Undefined: a connection of its own. */
  readonly agent?: Agent;
  readonly heldBytes: HeldBytes;
  readonly onEnd: () => void;
}

/** One dispatch of a request to a target, from the connection to the end of the answer. */
export class RunningAttempt {
  private outgoing?: ClientRequest;
  private isOver = false;
  private isConnected = false;
  private connectTimer?: NodeJS.Timeout;
  private limit?: AnswerLimit;

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
      patienceMs: effect.patienceMs,
      urgency: effect.urgency,
      afterEventId: call.lastEventId,
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
    this.limit = new AnswerLimit(outgoing, MAX_HEAD_BYTES, () =>
      this.failEndless('bytes without end'),
    );
    outgoing.setNoDelay(true);
    outgoing.on('socket', socket => {
      if (!socket.connecting) {
        this.isConnected = true;
        return;
      }
      this.connectTimer = setTimeout(
        () => outgoing.destroy(new Error('connect timeout')),
        CONNECT_MS,
      );
      socket.once('connect', () => {
        this.isConnected = true;
        clearTimeout(this.connectTimer);
      });
    });
    outgoing.on('response', response => this.takeAnswer(response));
    outgoing.on('error', error => this.failBroken(error.message));
    outgoing.end(call.body);
  }

  /** Ends the attempt without a report; the target drops the work with the connection. */
  cancel(): void {
    this.isOver = true;
    clearTimeout(this.connectTimer);
    this.outgoing?.destroy();
  }

  private takeAnswer(response: IncomingMessage): void {
    const {context, call, effect} = this;
    const status = response.statusCode ?? 0;
    const head = context.wire.callers.readTarget(status, response.headers);
    response.on('error', error => this.failBroken(error.message));
    response.on('close', () => this.failBroken('connection closed'));
    const isOwn = head.isNotRun || head.callerId === call.callerId;
    if (isOwn) announceEngine(context, effect.vmId, status, response.headers);
    this.limit?.renew(MAX_USELESS_BYTES);
    if (head.isNotRun) {
      this.readOut(response);
      this.fail('turned-away', {status, faultyVmId: head.faultyVmId});
      return;
    }
    if (head.callerId !== call.callerId) {
      this.outgoing?.destroy();
      this.fail('garbled', {status, detail: 'answer to another request'});
      return;
    }
    if (!head.isSigned && isSuccess(status)) {
      this.outgoing?.destroy();
      this.fail('garbled', {
        status,
        detail: "answer without the target's proof",
      });
      return;
    }
    if (!isFramed(response)) call.endWithConnection();
    if (effect.isStream && isSuccess(status)) {
      this.passStream(response);
      return;
    }
    this.passWhole(response);
  }

  private passStream(response: IncomingMessage): void {
    const {context, call, effect} = this;
    const splitter = new EventSplitter(MAX_EVENT_BYTES);
    /** Comments, which wait for an event. */
    let held: Buffer[] = [];
    const headers = context.wire.callers.passAnswer(response.headers);
    const status = response.statusCode ?? 200;
    response.on('data', (chunk: Buffer) => {
      if (this.isOver) return;
      const {events: complete, count} = splitter.split(chunk);
      if (splitter.overflows) {
        this.failEndless('event without end');
        return;
      }
      if (complete.length > 0) held.push(complete);
      if (count === 0) return;
      this.limit?.renew();
      const events = held.length === 1 ? complete : Buffer.concat(held);
      held = [];
      call.writeHead(status, headers);
      call.lastEventId = lastEventIdOf(events) ?? call.lastEventId;
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
        this.failBroken('stream ended inside an event');
        return;
      }
      call.writeHead(status, headers);
      for (const events of held) call.write(events);
      call.finish();
      this.end(status);
    });
  }

  private passWhole(response: IncomingMessage): void {
    const {context, call, effect} = this;
    const status = response.statusCode ?? 0;
    const chunks: Buffer[] = [];
    const held = this.options.heldBytes.open();
    response.on('close', () => held.close());
    response.on('data', (chunk: Buffer) => {
      if (this.isOver) return;
      if (!held.add(chunk.length)) {
        this.failEndless('answer too large');
        return;
      }
      this.limit?.renew();
      chunks.push(chunk);
    });
    response.on('end', () => {
      if (this.isOver) return;
      if (!response.complete) {
        this.failBroken('answer ended early');
        return;
      }
      const headers = context.wire.callers.passAnswer(response.headers);
      const body = Buffer.concat(chunks);
      const isRepeatable = !effect.freshConnection;
      if (call.hasHead || (status >= MIN_SERVER_ERROR && isRepeatable)) {
        call.keepFailure(status, headers, body);
        this.fail('failed', {status});
        return;
      }
      call.send(status, headers, body);
      this.end(status);
    });
  }

  /** Reads the rest of a refusal, so that its connection can be used again. */
  private readOut(response: IncomingMessage): void {
    this.limit?.renew(MAX_REFUSAL_BYTES);
    const timer = setTimeout(() => this.outgoing?.destroy(), REFUSAL_MS);
    response.on('close', () => clearTimeout(timer));
    response.resume();
  }

  private failEndless(detail: string): void {
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

  private failBroken(detail: string): void {
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

/** Whether the end of the body can be told from a lost connection. */
function isFramed({headers}: IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
