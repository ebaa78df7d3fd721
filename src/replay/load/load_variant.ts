import type {NodeState} from '../../core/state/types.js';

/** One way to schedule, run beside others on the same trace. */
export interface LoadVariant {
  readonly name: string;
  /** Changes a node before it starts; `at` is its number. */
  readonly prepare: (state: NodeState, at: number) => void;
}
