import type {NodeId, ZoneId} from '../ids/index.js';

interface NodeStatus {
  readonly nodeId: NodeId;
  readonly incarnation: string;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly controlAddress: string;
  readonly phase: 'starting' | 'serving' | 'draining';
  readonly configRevision: number;
  /** Requests queued and running there. */
  readonly queued: number;
  readonly running: number;
  /** Time since the node was last heard of; 0 for the node that answers. */
  readonly silentMs: number;
  /** False once the node has been silent for too long to send callers there. */
  readonly live: boolean;
}

/** Answer to `status`: all nodes as the asked one sees them, itself included. */
export interface StatusAnswer {
  readonly answeredBy: NodeId;
  readonly revision: number;
  readonly nodes: readonly NodeStatus[];
}
