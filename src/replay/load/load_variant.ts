import type {NodeState} from '../../core/state/types.js';

/** A scheduling configuration to compare with others on the same trace. */
export interface LoadVariant {
  readonly name: string;
  /** Modifies the state of a node before it starts; `at` is the index of the node. */
  readonly prepare: (state: NodeState, at: number) => void;
}
