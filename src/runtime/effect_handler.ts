import type {Effect} from '../core/effects/types.js';

/** Performs effects of the given types and dispatches their results as events. */
export interface EffectHandler<E extends {readonly type: string} = Effect> {
  readonly types: readonly E['type'][];
  /** Starts an effect. Never throws; failures are dispatched as events. */
  handle(effect: E): void;
  /** Shuts down gracefully. */
  close(): Promise<void>;
  /** Closes all resources immediately, as a crash of the node would. */
  destroy(): void;
}
