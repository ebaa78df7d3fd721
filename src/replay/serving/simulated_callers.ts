import type {AccessConfig} from '../../core/access/types.js';
import type {CallerCallState, CallerOutcome, WorldRequest} from './types.js';
import type {NodeId, RequestId} from '../../core/ids/index.js';
import type {ServingEffect, ServingRequest} from '../../core/serving/types.js';
import type {VirtualTime} from '../virtual_time.js';
import {makeId} from '../../core/ids/index.js';

/** A caller retries after at most this share of the time until its deadline. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;
/** Delay before a caller reconnects if no node is running. */
const RECONNECT_DELAY_MS = 300;

/** The callers' interface to the simulation. */
interface CallersOptions {
  readonly time: VirtualTime;
  readonly config: AccessConfig;
  /** Sends to a given or a random node, and returns it; undefined if none is running. */
  dispatchToNode(
    request: ServingRequest,
    nodeIndex: number | undefined,
  ): NodeId | undefined;
}

/** Simulated callers: they send requests, retry once after a refusal, and record the outcomes. */
export class SimulatedCallers {
  readonly outcomes: CallerOutcome[] = [];
  /** When requests reached nodes, the callers' own retries included. */
  readonly sentAtMs: number[] = [];
  private readonly openCalls = new Map<RequestId, CallerCallState>();
  private requestCount = 0;

  constructor(private readonly world: CallersOptions) {}

  /** Returns a request that has no final response yet. */
  find(requestId: RequestId): CallerCallState | undefined {
    return this.openCalls.get(requestId);
  }

  /** Sends a caller's request to a random node. */
  send(request: WorldRequest): void {
    const route = this.world.config.routesByHost
      .get('host')!
      .find(({pathPrefix}) => request.path.startsWith(pathPrefix))!;
    const outcome: CallerOutcome = {
      kind: request.kind,
      model: request.model,
      sharedPartIds: request.sharedPartIds ?? [],
      promptTokens: request.promptTokens,
      apiKey: request.apiKey ?? 'key-0',
      retryAfterMs: [],
      arrivedAtMs: this.world.time.nowMs,
      goalMs: route.goalMs,
      gapGoalMs: route.gapGoalMs ?? Infinity,
      longestGapMs: 0,
      refusalCount: 0,
    };
    this.outcomes.push(outcome);
    const call: CallerCallState = {
      outcome,
      events: request.events,
      nodeIndex: request.nodeIndex,
      eventsReceived: 0,
      attemptCount: 0,
      request: {
        callerId: `c${this.outcomes.length}`,
        host: 'host',
        path: request.path,
        apiKey: request.apiKey ?? 'key-0',
        callerTimeoutMs: request.callerTimeoutMs ?? route.timeoutMs,
        model: request.model,
        promptTokens: request.promptTokens,
        sharedPartIds: request.sharedPartIds ?? [],
        fingerprint: makeId(`f${this.outcomes.length}`),
      },
    };
    this.arrive(call);
  }

  /** Records that an event of the response reached the caller. */
  receiveEvent(requestId: RequestId): void {
    const call = this.openCalls.get(requestId);
    if (!call) return;
    const {outcome} = call;
    call.eventsReceived += 1;
    outcome.firstEventMs ??= this.world.time.nowMs - outcome.arrivedAtMs;
    if (call.lastEventAtMs !== undefined) {
      const gapMs = this.world.time.nowMs - call.lastEventAtMs;
      outcome.longestGapMs = Math.max(outcome.longestGapMs, gapMs);
    }
    call.lastEventAtMs = this.world.time.nowMs;
  }

  private arrive(call: CallerCallState): void {
    const remainingMs =
      call.outcome.arrivedAtMs +
      (call.request.callerTimeoutMs ?? 0) -
      this.world.time.nowMs;
    if (remainingMs <= 0) {
      call.outcome.result = 'failed';
      return;
    }
    this.requestCount += 1;
    const requestId = makeId<RequestId>(`r${this.requestCount}`);
    this.openCalls.set(requestId, call);
    call.attemptCount += 1;
    const request = {
      ...call.request,
      callerTimeoutMs: remainingMs,
      requestId,
      arrivedAtMs: this.world.time.nowMs,
    };
    const nodeId = this.world.dispatchToNode(request, call.nodeIndex);
    if (nodeId !== undefined) {
      call.outcome.nodeId ??= nodeId;
      this.sentAtMs.push(this.world.time.nowMs);
      return;
    }
    this.openCalls.delete(requestId);
    call.attemptCount -= 1;
    this.world.time.after(RECONNECT_DELAY_MS, () => this.arrive(call));
  }

  /** Handles a refusal by a node: the caller retries once after a 503, within its deadline. */
  handleRefusal(effect: Extract<ServingEffect, {type: 'refuse'}>): void {
    const call = this.openCalls.get(effect.requestId);
    if (!call) return;
    const {outcome} = call;
    const remainingMs =
      outcome.arrivedAtMs +
      (call.request.callerTimeoutMs ?? 0) -
      this.world.time.nowMs;
    outcome.refusalCount += 1;
    if (effect.retryAfterMs !== undefined) {
      outcome.retryAfterMs.push(effect.retryAfterMs);
    }
    if (effect.status !== 503 || call.attemptCount > 1 || remainingMs <= 0) {
      this.end(effect.requestId, effect.status === 503 ? 'refused' : 'failed');
      return;
    }
    this.openCalls.delete(effect.requestId);
    const waitMs = Math.min(
      effect.retryAfterMs ?? 0,
      remainingMs * MAX_RETRY_DELAY_SHARE,
    );
    this.world.time.after(waitMs, () => this.arrive(call));
  }

  /** Breaks the connections of all callers; those that have not retried yet reconnect. */
  disconnectAll(): void {
    for (const [requestId, call] of [...this.openCalls]) {
      if (call.attemptCount > 1) {
        this.end(requestId, 'failed');
        continue;
      }
      this.openCalls.delete(requestId);
      this.world.time.after(RECONNECT_DELAY_MS, () => this.arrive(call));
    }
  }

  /** Records the final result of a request. */
  end(
    requestId: RequestId,
    result: NonNullable<CallerOutcome['result']>,
  ): void {
    const call = this.openCalls.get(requestId);
    if (!call) return;
    this.openCalls.delete(requestId);
    call.outcome.result = result;
    call.outcome.endedAtMs = this.world.time.nowMs;
  }
}
