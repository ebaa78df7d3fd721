import type {Incarnation, NodeId, ZoneId} from '../ids/index.js';

/** A peer as last heard of. */
export interface Peer {
  readonly nodeId: NodeId;
  incarnation: Incarnation;
  /** Start of the incarnation; a later start wins. */
  startedAtMs: number;
  zone: ZoneId;
  callerAddress: string;
  controlAddress: string;
  phase: 'starting' | 'serving' | 'draining';
  configRevision: number;
  queued: number;
  running: number;
  /** Sequence of the last heartbeat of this incarnation. */
  sequence: number;
  /** Last sign of life, its own or passed on. */
  heardAtMs: number;
  /** Since when this node watches the peer's heartbeats; undefined when others do. */
  monitoredSinceMs?: number;
  /** Last time that the peer said it hears this node. */
  heardUsAtMs: number;
  /** It sends heartbeats but misses this node's. */
  isDeaf: boolean;
  /** Set while other nodes say that the peer is silent. */
  suspectedAtMs?: number;
}
