import type {NodeId, ZoneId} from '../ids/index.js';

interface NodeStatus {
  readonly nodeId: NodeId;
  readonly incarnation: string;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly controlAddress: string;
  readonly phase: 'starting' | 'serving' | 'draining';
  readonly configRevision: number;
  /** Requests queued on the node. */
  readonly queued: number;
  /** Requests running on the node. */
  readonly running: number;
  /** Time since the last sign of life of the node; 0 for the answering node. */
  readonly silentMs: number;
  /** False once the node has been silent for too long for callers to be directed to it. */
  readonly live: boolean;
}

/** Answer to `status`: all nodes, including the answering one, in its view. */
export interface StatusAnswer {
  readonly answeredBy: NodeId;
  readonly revision: number;
  readonly nodes: readonly NodeStatus[];
}
