import type {Incarnation, NodeId, ZoneId} from '../ids/index.js';

/** A peer as last heard of. */
export interface Peer {
  readonly nodeId: NodeId;
  incarnation: Incarnation;
  zone: ZoneId;
  callerAddress: string;
  controlAddress: string;
  phase: 'starting' | 'serving' | 'draining';
  configRevision: number;
  queued: number;
  running: number;
  /** Sequence of the last heartbeat of this incarnation. */
  sequence: number;
  heardAtMs: number;
}
