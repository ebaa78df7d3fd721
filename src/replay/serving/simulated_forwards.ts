import type {AttemptId, RequestId} from '../../core/ids/index.js';
import type {CallerSide, WorldNode} from './types.js';
import type {ServingEffect, ServingEvent} from '../../core/serving/types.js';
import type {SimulatedCallers} from './simulated_callers.js';
import {makeId} from '../../core/ids/index.js';

const NETWORK_LATENCY_MS = 1;
const CONNECT_TIMEOUT_MS = 300;

interface ForwardsOptions {
  readonly callers: SimulatedCallers;
  findNode(nodeId: string): WorldNode | undefined;
  nowMs(): number;
  after(delayMs: number, run: () => void): void;
  dispatch(node: WorldNode, event: ServingEvent): void;
}

/** A request that one node has sent to another. */
interface Forward {
  readonly from: WorldNode;
  readonly to: WorldNode;
  readonly attemptId: AttemptId;
  /** The request's id at the node that got it from the caller. */
  readonly requestId: RequestId;
}

/** Simulated connections between nodes, for requests that one passes on for another. */
export class SimulatedForwards implements CallerSide {
  /** Requests that nodes have sent to others. */
  count = 0;
  /** By the request's id at the node that passes it on. */
  private readonly forwards = new Map<RequestId, Forward>();

  constructor(private readonly options: ForwardsOptions) {}

  start(
    from: WorldNode,
    effect: Extract<ServingEffect, {type: 'startForward'}>,
  ): void {
    const {callers, findNode, after, dispatch, nowMs} = this.options;
    const {attemptId, requestId, timeoutMs, priorRunCount} = effect;
    const call = callers.find(requestId);
    const to = findNode(effect.nodeId);
    if (!call || !to) return;
    if (!to.isUp) {
      after(CONNECT_TIMEOUT_MS, () =>
        dispatch(from, {type: 'attemptFailed', attemptId, fault: 'not-sent'}),
      );
      return;
    }
    this.count += 1;
    const forwardedId = makeId<RequestId>(`${requestId}>${this.count}`);
    this.forwards.set(forwardedId, {from, to, attemptId, requestId});
    after(2 * NETWORK_LATENCY_MS, () => {
      if (!this.forwards.has(forwardedId)) return;
      dispatch(to, {
        type: 'requestArrived',
        request: {
          ...call.request,
          requestId: forwardedId,
          callerTimeoutMs: timeoutMs,
          arrivedAtMs: nowMs(),
          forwarded: {nodeId: from.state.nodeId, priorRunCount},
        },
      });
    });
  }

  /** Closes the connection of a forward. Returns false if the attempt is none. */
  cancel(attemptId: AttemptId): boolean {
    for (const [requestId, forward] of this.forwards) {
      if (forward.attemptId !== attemptId) continue;
      this.forwards.delete(requestId);
      this.report(forward.to, {type: 'callerGone', requestId});
      return true;
    }
    return false;
  }

  /** Breaks all connections from and to a node whose process ends. */
  disconnect(node: WorldNode): void {
    for (const [requestId, forward] of [...this.forwards]) {
      const {from, to, attemptId} = forward;
      if (from !== node && to !== node) continue;
      this.forwards.delete(requestId);
      if (from === node) this.report(to, {type: 'callerGone', requestId});
      else {
        this.report(from, {type: 'attemptFailed', attemptId, fault: 'broken'});
      }
    }
  }

  find(requestId: RequestId): ReturnType<CallerSide['find']> {
    const {callers} = this.options;
    const forward = this.forwards.get(requestId);
    return callers.find(forward?.requestId ?? requestId);
  }

  receiveEvent(requestId: RequestId): void {
    const {callers, after} = this.options;
    const forward = this.forwards.get(requestId);
    if (!forward) {
      callers.receiveEvent(requestId);
      return;
    }
    const {from, attemptId} = forward;
    this.report(from, {type: 'attemptProgress', attemptId, eventCount: 1});
    after(NETWORK_LATENCY_MS, () => callers.receiveEvent(forward.requestId));
  }

  end(requestId: RequestId, result: 'whole' | 'cut'): void {
    const {callers, after} = this.options;
    const forward = this.forwards.get(requestId);
    if (!forward) {
      callers.end(requestId, result);
      return;
    }
    this.forwards.delete(requestId);
    const {from, attemptId} = forward;
    if (result === 'cut') {
      this.report(from, {type: 'attemptFailed', attemptId, fault: 'broken'});
      return;
    }
    this.report(from, {type: 'attemptEnded', attemptId, status: 200});
    after(NETWORK_LATENCY_MS, () => callers.end(forward.requestId, 'whole'));
  }

  /** Sends a node's refusal to where its request came from. */
  refuse(effect: Extract<ServingEffect, {type: 'refuse'}>): void {
    const forward = this.forwards.get(effect.requestId);
    if (!forward) {
      this.options.callers.handleRefusal(effect);
      return;
    }
    this.forwards.delete(effect.requestId);
    const {from, attemptId} = forward;
    const {status, reason, retryAfterMs} = effect;
    const hasNotRun = status !== 502 && status !== 504;
    this.report(from, {
      type: 'attemptFailed',
      attemptId,
      fault: hasNotRun ? 'turned-away' : 'failed',
      status,
      refusal: {reason, retryAfterMs},
    });
  }

  private report(node: WorldNode, event: ServingEvent): void {
    const {after, dispatch} = this.options;
    after(NETWORK_LATENCY_MS, () => dispatch(node, event));
  }
}
