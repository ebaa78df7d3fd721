import type {
  IncomingHttpHeaders,
  IncomingMessage,
  OutgoingHttpHeaders,
} from 'node:http';
import type {AttemptId} from '../core/ids/index.js';
import type {CallerCall} from './caller_call.js';
import type {ServingContext} from './types.js';
import type {ServingEffect} from '../core/serving/types.js';
import type {Upstream} from './upstream.js';
import type {UpstreamFault} from './upstream_fault.js';
import {forwardHeaders} from './forward_headers.js';
import {isSuccess} from './is_success.js';
import {resolvePeerAddress} from './resolve_peer_address.js';

type StartForward = Extract<ServingEffect, {type: 'startForward'}>;

/** Another node, which passes a request on. Its answers are final: it has retried what it may. */
export class PeerUpstream implements Upstream {
  readonly attemptId: AttemptId;
  readonly address: string;
  readonly isStream: boolean;
  readonly isResumable: boolean;
  readonly keepsErrors = false;

  constructor(
    private readonly context: ServingContext,
    private readonly effect: StartForward,
  ) {
    this.attemptId = effect.attemptId;
    this.isStream = effect.isStream;
    this.isResumable = effect.isResumable;
    this.address = resolvePeerAddress(
      effect.callerAddress,
      context.settings.listen.forwards,
    );
  }

  createHeaders(call: CallerCall): OutgoingHttpHeaders {
    const {wire, settings} = this.context;
    const {timeoutMs, priorRunCount} = this.effect;
    const {lastEventId} = call;
    return {
      ...wire.callers.writeForward(call.headers, {timeoutMs, lastEventId}),
      ...forwardHeaders.writeRequest({nodeId: settings.nodeId, priorRunCount}),
    };
  }

  handleConnect(): void {}

  checkHead(
    response: IncomingMessage,
    call: CallerCall,
  ): UpstreamFault | undefined {
    const status = response.statusCode ?? 0;
    const head = this.context.wire.callers.readTarget(status, response.headers);
    const answer = forwardHeaders.takeResponse(response.headers);
    if (!answer || head.callerId !== call.callerId) {
      const detail = 'response belongs to another request';
      return {fault: 'garbled', status, detail, isDrained: false};
    }
    const {verdict, reason = 'overloaded', retryAfterMs} = answer;
    if (verdict === 'not-run') {
      const refusal = {reason, retryAfterMs};
      return {fault: 'turned-away', status, refusal, isDrained: true};
    }
    if (verdict === 'may-have-run') {
      return {fault: 'failed', status, detail: reason, isDrained: true};
    }
    if (head.isSigned || !isSuccess(status)) return undefined;
    const detail = "response lacks the target's signature";
    return {fault: 'garbled', status, detail, isDrained: false};
  }

  selectHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
    return this.context.wire.callers.selectResponseHeaders(headers);
  }
}
