import type {Incarnation, NodeId, ZoneId} from '../ids/index.js';

/** Last known state of a peer. */
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
  /** Last sign of life, received from the peer or by gossip. */
  lastSeenAtMs: number;
  /** Since when this node monitors the peer's heartbeats; undefined when other nodes do. */
  monitoredSinceMs?: number;
  /** Last time that the peer confirmed receiving this node's heartbeats. */
  lastAcknowledgedAtMs: number;
  /** Whether the peer sends heartbeats but does not receive this node's. */
  isNotReceiving: boolean;
  /** Since when the peer is suspected: it stayed silent, or other nodes reported that. */
  suspectedAtMs?: number;
}
