import type {
  IncomingHttpHeaders,
  IncomingMessage,
  OutgoingHttpHeaders,
} from 'node:http';
import type {AttemptId} from '../core/ids/index.js';
import type {CallerCall} from './caller_call.js';
import type {ServingContext, TargetHead} from './types.js';
import type {ServingEffect} from '../core/serving/types.js';
import type {Upstream} from './upstream.js';
import type {UpstreamFault} from './upstream_fault.js';
import {dispatchAnnouncement} from './dispatch_announcement.js';
import {isSuccess} from './is_success.js';

type StartAttempt = Extract<ServingEffect, {type: 'startAttempt'}>;

/** An engine that a request is sent to. */
export class EngineUpstream implements Upstream {
  readonly attemptId: AttemptId;
  readonly address: string;
  readonly isStream: boolean;
  readonly isResumable: boolean;
  readonly keepsErrors: boolean;

  constructor(
    private readonly context: ServingContext,
    private readonly effect: StartAttempt,
  ) {
    this.attemptId = effect.attemptId;
    this.address = effect.address;
    this.isStream = effect.isStream;
    this.isResumable = effect.isResumable;
    this.keepsErrors = !effect.needsNewConnection;
  }

  createHeaders(call: CallerCall): OutgoingHttpHeaders {
    const {vmId, organisation, targetTimeoutMs, urgency} = this.effect;
    return this.context.wire.callers.writeAttempt(call.headers, {
      vmId,
      organisation,
      targetTimeoutMs,
      urgency,
      lastEventId: call.lastEventId,
    });
  }

  handleConnect(connectMs: number): void {
    const {vmId} = this.effect;
    this.context.events.dispatch({type: 'engineConnected', vmId, connectMs});
  }

  checkHead(
    response: IncomingMessage,
    call: CallerCall,
    isConnectionReused: boolean,
  ): UpstreamFault | undefined {
    const {context, effect} = this;
    const status = response.statusCode ?? 0;
    const head = context.wire.callers.readTarget(status, response.headers);
    if (!isForCall(head, call, isConnectionReused)) {
      return {
        fault: 'garbled',
        status,
        detail: 'response belongs to another request',
        isDrained: false,
      };
    }
    dispatchAnnouncement(
      context,
      {vmId: effect.vmId, hasRun: !head.hasNotRun},
      status,
      response.headers,
    );
    if (head.hasNotRun) {
      const {faultyVmId} = head;
      return {fault: 'turned-away', status, faultyVmId, isDrained: true};
    }
    if (head.isSigned || !isSuccess(status)) return undefined;
    return {
      fault: 'garbled',
      status,
      detail: "response lacks the target's signature",
      isDrained: false,
    };
  }

  selectHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
    return this.context.wire.callers.selectResponseHeaders(headers);
  }
}

/** Whether a response belongs to a request. On a connection that was used before, one without an id may be a late copy for an earlier request. */
function isForCall(
  {callerId, hasNotRun}: TargetHead,
  call: CallerCall,
  isConnectionReused: boolean,
): boolean {
  if (callerId !== undefined) return callerId === call.callerId;
  return hasNotRun && !isConnectionReused;
}
