import type {Agent} from 'node:http';
import type {AttemptId, RequestId, VmId} from '../core/ids/index.js';
import type {EffectHandler} from '../runtime/types.js';
import type {CallerCall} from './caller_call.js';
import type {FrontServer} from './front_server.js';
import type {ServingContext} from './types.js';
import type {ServingEffect} from '../core/serving/types.js';
import {BufferBudget} from './buffer_budget.js';
import {KeepAliveAgent} from '../http/index.js';
import type {Upstream} from './upstream.js';
import {EngineUpstream} from './engine_upstream.js';
import {PeerUpstream} from './peer_upstream.js';
import {RunningAttempt} from './running_attempt.js';

/** Idle connections kept per target; more than a node has requests in flight to one. */
const MAX_IDLE_SOCKETS = 24;
/** Idle connections are closed before the targets' own idle time-outs expire. */
const IDLE_SOCKET_TIMEOUT_MS = 4000;

const MIB = 1024 * 1024;
/** Buffered responses: those of all services are far smaller, and together they may take one eleventh of the memory of the smallest nodes. */
const RESPONSE_LIMITS = {
  itemBytes: 4 * MIB,
  totalBytes: 12 * MIB,
  smallBytes: MIB / 4,
  reserveBytes: 6 * MIB,
};

/** Sends requests to targets and forwards their responses to the callers. */
export class AttemptClient implements EffectHandler<ServingEffect> {
  readonly types = [
    'startAttempt',
    'startForward',
    'finishAnswer',
    'cancelAttempt',
  ] as const;
  private readonly attempts = new Map<AttemptId, RunningAttempt>();
  private readonly bufferBudget = new BufferBudget(RESPONSE_LIMITS);
  /** One agent per target rather than per address, so that a VM that takes over an address gets no connection to its predecessor. */
  private readonly agentsByTarget = new Map<VmId, KeepAliveAgent>();

  constructor(
    private readonly context: ServingContext,
    private readonly frontServer: FrontServer,
  ) {}

  handle(effect: ServingEffect): void {
    if (effect.type === 'finishAnswer') {
      this.attempts.get(effect.attemptId)?.finishClosed();
      return;
    }
    if (effect.type === 'cancelAttempt') {
      const attempt = this.attempts.get(effect.attemptId);
      this.attempts.delete(effect.attemptId);
      attempt?.cancel();
      return;
    }
    if (effect.type === 'startAttempt') {
      const {vmId, needsNewConnection} = effect;
      this.start(
        effect.requestId,
        new EngineUpstream(this.context, effect),
        needsNewConnection ? undefined : this.getAgent(vmId),
      );
    } else if (effect.type === 'startForward') {
      this.start(effect.requestId, new PeerUpstream(this.context, effect));
    }
  }

  private start(requestId: RequestId, upstream: Upstream, agent?: Agent): void {
    const call = this.frontServer.findCall(requestId);
    const {attemptId} = upstream;
    if (!call) {
      this.context.events.dispatch({type: 'attemptUnsent', attemptId});
      return;
    }
    const attempt = new RunningAttempt(this.context, call, upstream, {
      agent,
      bufferBudget: this.bufferBudget,
      onEnd: () => this.attempts.delete(attemptId),
    });
    this.attempts.set(attemptId, attempt);
    this.context.catchUp.run(() => this.send(call, attempt));
  }

  /** Sends a request, unless its caller's close was read since it was decided on. */
  private send(call: CallerCall, attempt: RunningAttempt): void {
    const {attemptId} = attempt;
    if (!call.hasLeft) attempt.start();
    else this.context.events.dispatch({type: 'attemptUnsent', attemptId});
  }

  /** Closes the connections to engines that are no longer registered, once they are idle: such an engine may still finish its requests. */
  sweep(): void {
    for (const [vmId, agent] of this.agentsByTarget) {
      if (this.context.state.engines.has(vmId)) continue;
      agent.retire();
      this.agentsByTarget.delete(vmId);
    }
  }

  close(): Promise<void> {
    for (const attempt of this.attempts.values()) attempt.cancel();
    for (const agent of this.agentsByTarget.values()) agent.destroy();
    return Promise.resolve();
  }

  destroy(): void {
    void this.close();
  }

  private getAgent(vmId: VmId): KeepAliveAgent {
    let agent = this.agentsByTarget.get(vmId);
    if (!agent) {
      agent = new KeepAliveAgent({
        keepAlive: true,
        maxFreeSockets: MAX_IDLE_SOCKETS,
        timeout: IDLE_SOCKET_TIMEOUT_MS,
        scheduling: 'lifo',
      });
      this.agentsByTarget.set(vmId, agent);
    }
    return agent;
  }
}
