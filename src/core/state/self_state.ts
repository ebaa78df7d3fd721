import type {Incarnation, NodeId, ZoneId} from '../ids/index.js';

/** Jobs that a node does; all on by default. */
interface Roles {
  readonly entry: boolean;
  readonly relay: boolean;
  readonly observer: boolean;
  readonly broker: boolean;
  readonly steward: boolean;
}

/** Who this node is; fixed for one incarnation. */
export interface SelfState {
  readonly nodeId: NodeId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly region: string;
  readonly callerAddress: string;
  readonly controlAddress: string;
  readonly roles: Roles;
  /** Control addresses of peers to ask when the store is down at the start. */
  readonly seedPeers?: readonly string[];
}
