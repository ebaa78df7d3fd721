import type {Incarnation, ZoneId} from '../ids/index.js';

/** A peer's sign of life. */
interface Heartbeat {
  readonly type: 'membership.heartbeat';
  readonly incarnation: Incarnation;
  readonly sequence: number;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly controlAddress: string;
  readonly phase: 'starting' | 'serving' | 'draining';
  readonly configRevision: number;
  /** Requests queued and running here. */
  readonly queued: number;
  readonly running: number;
}

/** Messages of the membership area. */
export type MembershipMessage = Heartbeat;
