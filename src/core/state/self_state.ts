import type {Incarnation, NodeId, ZoneId} from '../ids/index.js';

/** Roles that a node takes; all are on by default. */
interface Roles {
  readonly entry: boolean;
  readonly relay: boolean;
  readonly observer: boolean;
  readonly broker: boolean;
  readonly steward: boolean;
}

/** Identity of this node; constant during one incarnation. */
export interface SelfState {
  readonly nodeId: NodeId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly region: string;
  readonly callerAddress: string;
  readonly controlAddress: string;
  readonly roles: Roles;
  /** Control addresses of peers to contact when the store is down at start-up. */
  readonly seedPeers?: readonly string[];
}
