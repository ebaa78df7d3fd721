import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';

/** Membership's share of the reducer: leases, heartbeats, and pauses of this process. */
export function reduceMembership(_step: Step, _event: NodeEvent): void {}
