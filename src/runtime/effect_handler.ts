import type {Effect} from '../core/effects/types.js';

/** Performs the effects of some types and reports results as events. */
export interface EffectHandler<E extends {readonly type: string} = Effect> {
  readonly types: readonly E['type'][];
  /** Never throws; failures become events. */
  handle(effect: E): void;
  /** Ends in an orderly way. */
  close(): Promise<void>;
  /** Drops everything at once, as a lost node would. */
  destroy(): void;
}
