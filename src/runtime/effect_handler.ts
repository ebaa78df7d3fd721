import type {Effect} from '../core/effects/types.js';

/** Performs the effects of some types and reports results as events. */
export interface EffectHandler {
  readonly types: readonly Effect['type'][];
  /** Never throws; failures become events. */
  handle(effect: Effect): void;
  /** Ends in an orderly way. */
  close(): Promise<void>;
  /** Drops everything at once, as a lost node would. */
  destroy(): void;
}
