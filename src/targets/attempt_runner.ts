import {Agent} from 'node:http';
import type {AnswerSource} from '../callers/types.js';
import type {AttemptId} from '../core/ids/index.js';
import type {Effect, EffectOf} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import {TargetAttempt} from './target_attempt.js';

const MAX_FREE_SOCKETS_PER_TARGET = 64;

/** Sends requests to targets and pipes their responses to callers. */
export class AttemptRunner implements EffectHandler {
  readonly types = ['startAttempt', 'cancelAttempt'] as const;
  private readonly attempts = new Map<AttemptId, TargetAttempt>();
  private readonly agent = new Agent({
    keepAlive: true,
    maxFreeSockets: MAX_FREE_SOCKETS_PER_TARGET,
    scheduling: 'lifo',
  });

  constructor(
    private readonly context: NodeContext,
    private readonly answers: AnswerSource,
  ) {}

  handle(effect: Effect): void {
    if (effect.type === 'startAttempt') this.start(effect);
    else if (effect.type === 'cancelAttempt') this.cancel(effect.attemptId);
  }

  async close(): Promise<void> {
    this.destroy();
  }

  destroy(): void {
    for (const attempt of this.attempts.values()) attempt.cancel();
    this.agent.destroy();
  }

  private start(effect: EffectOf<'startAttempt'>): void {
    const {attemptId} = effect;
    const {events, settings} = this.context;
    const answer = this.answers.find(effect.requestId);
    if (!answer) {
      const failure = {verdict: 'not-run', cause: 'cancelled'} as const;
      events.dispatch({type: 'attemptFailed', attemptId, tokens: 0, failure});
      return;
    }
    if (answer.isHeadSent && answer.delivered.tokens === 0) {
      // The response is not a token stream, so its delivered part cannot be continued.
      events.dispatch({
        type: 'attemptFailed',
        attemptId,
        tokens: 0,
        failure: {verdict: 'not-run', cause: 'truncated'},
        unresumable: true,
      });
      return;
    }
    const attempt = new TargetAttempt({
      start: effect,
      answer,
      events,
      ...(effect.freshConnection ? {} : {agent: this.agent}),
      silenceMs: settings.limits.targetSilenceMs,
      onEnd: () => this.attempts.delete(attemptId),
    });
    this.attempts.set(attemptId, attempt);
  }

  /** Does nothing when the attempt has already ended. */
  private cancel(attemptId: AttemptId): void {
    this.attempts.get(attemptId)?.cancel();
  }
}
