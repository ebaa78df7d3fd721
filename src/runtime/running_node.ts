import type {NodeState} from '../core/state/types.js';

/** Handle of a node that runs in this process. */
export interface RunningNode {
  /** Read only. */
  readonly state: NodeState;
  /** Resolves when the node has ended, after a drain or `destroy`. */
  readonly ended: Promise<void>;
  /** Shuts down gracefully: requests in progress are completed. */
  drain(reason: string): void;
  /** Closes all sockets immediately, as a crash of the node would. */
  destroy(): void;
}
