import type {NodeState} from '../core/state/types.js';

/** A node in this process. */
export interface RunningNode {
  /** Read only. */
  readonly state: NodeState;
  /** Settles when the node has ended: after a drain, a `close` or a `destroy`. */
  readonly ended: Promise<void>;
  /** Leaves in an orderly way: requests in progress end whole. */
  drain(reason: string): void;
  /** Drops all sockets at once, as a lost node would. */
  destroy(): void;
}
