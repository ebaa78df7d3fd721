import type {AttemptId, VmId} from '../core/ids/index.js';
import type {EffectHandler} from '../runtime/types.js';
import type {FrontServer} from './front_server.js';
import type {ServingContext} from './types.js';
import type {ServingEffect} from '../core/serving/types.js';
import {HeldBytes} from './held_bytes.js';
import {KeptAgent} from '../http/index.js';
import {RunningAttempt} from './running_attempt.js';

/** Kept connections to one target; more than a node has in flight there. */
const MAX_FREE_SOCKETS = 24;
/** A kept connection is closed before the targets' own time-outs. */
const FREE_SOCKET_MS = 4000;

/** Sends requests to targets and passes their answers on. */
export class AttemptClient implements EffectHandler<ServingEffect> {
  readonly types = ['startAttempt', 'cancelAttempt'] as const;
  private readonly attempts = new Map<AttemptId, RunningAttempt>();
  private readonly heldBytes = new HeldBytes();
  /** Connections by target, so that a new owner of an address gets none of the old ones. */
  private readonly agents = new Map<VmId, KeptAgent>();

  constructor(
    private readonly context: ServingContext,
    private readonly callers: FrontServer,
  ) {}

  handle(effect: ServingEffect): void {
    if (effect.type === 'cancelAttempt') {
      const attempt = this.attempts.get(effect.attemptId);
      this.attempts.delete(effect.attemptId);
      attempt?.cancel();
      return;
    }
    if (effect.type !== 'startAttempt') return;
    const call = this.callers.find(effect.requestId);
    if (!call) return;
    const attempt = new RunningAttempt(this.context, call, effect, {
      agent: effect.freshConnection ? undefined : this.agentOf(effect.vmId),
      heldBytes: this.heldBytes,
      onEnd: () => this.attempts.delete(effect.attemptId),
    });
    this.attempts.set(effect.attemptId, attempt);
    attempt.start();
  }

  /** Closes kept connections to targets that are gone. */
  sweep(): void {
    for (const [vmId, agent] of this.agents) {
      if (this.context.state.engines.has(vmId)) continue;
      agent.destroy();
      this.agents.delete(vmId);
    }
  }

  close(): Promise<void> {
    for (const attempt of this.attempts.values()) attempt.cancel();
    for (const agent of this.agents.values()) agent.destroy();
    return Promise.resolve();
  }

  destroy(): void {
    void this.close();
  }

  private agentOf(vmId: VmId): KeptAgent {
    let agent = this.agents.get(vmId);
    if (!agent) {
      agent = new KeptAgent({
        keepAlive: true,
        maxFreeSockets: MAX_FREE_SOCKETS,
        timeout: FREE_SOCKET_MS,
        scheduling: 'lifo',
      });
      this.agents.set(vmId, agent);
    }
    return agent;
  }
}
