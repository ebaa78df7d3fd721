import type {MembershipState} from './membership_state.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';

/** Creates the state of a node that has no peers and holds no lease. */
export function createMembershipState(): MembershipState {
  return {
    peers: new Map(),
    startedAtMs: 0,
    sequence: 0,
    leaseTtlMs: MEMBERSHIP_TIMING.minLeaseTtlMs,
    leaseGrantedAtMs: 0,
    leaseSafeUntilMs: 0,
    authorityFromMs: 0,
    evictedTtlMs: 0,
    recordVersion: 0,
    isRegistered: false,
    isSuperseded: false,
    authorityEpoch: 0,
    lastTickAtMs: 0,
    lastEventAtMs: 0,
    calls: new Map(),
    store: {failures: 0, resumeAtMs: 0},
    hasView: false,
    isRelay: false,
    nextLeaseAtMs: 0,
    nextHeartbeatAtMs: 0,
    nextListAtMs: 0,
    nextWatchAtMs: 0,
    nextJoinAtMs: 0,
    ring: [],
    isRingStale: true,
    monitored: [],
    gossip: new Set(),
    arePeersStale: true,
    isLeaving: false,
    isReleased: false,
  };
}
