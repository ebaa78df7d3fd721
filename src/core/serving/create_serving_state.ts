import type {NodeId, ZoneId} from '../ids/index.js';
import type {ServingBounds, ServingState} from './types.js';
import {createAnnouncementState} from './announcements/index.js';
import {createColdnessState} from './coldness/index.js';
import {createCrashState} from './crashes/index.js';
import {createEvacuationState} from './evacuation/index.js';
import {createExchangeState} from './relays/create_exchange_state.js';
import {createFairQueueState} from './fair_queue/index.js';
import {createFleetSizeState} from './fleet_size/index.js';
import {createForwardingState} from './forwarding/index.js';
import {createPaceState} from './pace/index.js';
import {createRandom} from '../random/index.js';
import {createRetryState} from './retries/index.js';
import {createRateLimitState} from './rate_limits/index.js';
import {createReachabilityState} from './reachability/index.js';
import {createRestoreState} from './restore/index.js';
import {createStewardState} from '../steward/create_steward_state.js';

const MAX_INCARNATION = 2 ** 31;

interface ServingNodeOptions {
  readonly nodeId: NodeId;
  readonly zone: ZoneId;
  /** Address that callers connect to, `host:port`. */
  readonly callerAddress: string;
  /** UDP address for digests, `host:port`; empty by default. */
  readonly peerAddress?: string;
  /** Processor capacity of the VM, in cores; 1 by default. */
  readonly coreCount?: number;
  /** The whole system is being started for the first time, so there is no traffic yet. */
  readonly isFirstStart?: boolean;
}

/** Creates the state of a node that has just started. */
export function createServingState(
  options: ServingNodeOptions,
  bounds: ServingBounds,
  seed: number,
): ServingState {
  return {
    nodeId: options.nodeId,
    zone: options.zone,
    callerAddress: options.callerAddress,
    peerAddress: options.peerAddress ?? '',
    coreCount: options.coreCount ?? 1,
    exchange: createExchangeState(),
    fleetSize: createFleetSizeState(),
    isFirstStart: options.isFirstStart ?? false,
    bounds,
    restore: createRestoreState(),
    evacuation: createEvacuationState(bounds.evacuateMs !== undefined),
    random: createRandom(seed),
    idCounter: 0,
    incarnation: createRandom(seed).nextInt(MAX_INCARNATION),
    configProvenAtMs: -Infinity,
    wasAccessProven: false,
    configReadAtMs: -Infinity,
    fleetReadAtMs: -Infinity,
    fleetProvenAtMs: -Infinity,
    deferRemovalsUntilMs: -Infinity,
    deferredRemovals: new Map(),
    heartbeatAtMs: new Map(),
    engineCount: 0,
    revisionSum: 0,
    engines: new Map(),
    departedEngines: new Map(),
    leavingEngines: new Map(),
    lastNewPeerAtMs: -Infinity,
    probeResults: new Map(),
    lastProbeAtMs: new Map(),
    engineRevisions: new Map(),
    recentChanges: [],
    isFleetKnown: false,
    fleetRevision: 0,
    fleetChangedAtMs: -Infinity,
    areTargetsStale: false,
    replicas: new Map(),
    targetsByPool: new Map(),
    targets: new Map(),
    lostEngines: new Map(),
    announcements: createAnnouncementState(),
    rateLimits: createRateLimitState(),
    coldness: createColdnessState(),
    pace: createPaceState(),
    reachability: createReachabilityState(),
    targetLoads: new Map(),
    poolSigns: new Map(),
    peers: new Map(),
    peerLoads: new Map(),
    resumedAtMs: -Infinity,
    registeredPeerCount: 0,
    callerTimeoutsByRoute: new Map(),
    longDurationMsByRoute: new Map(),
    requests: new Map(),
    requestsByAttempt: new Map(),
    forwarding: createForwardingState(),
    waitingByPool: new Map(),
    fairQueue: createFairQueueState(),
    retries: createRetryState(),
    crashes: createCrashState(),
    hasExited: false,
    steward: createStewardState(!(options.isFirstStart ?? false)),
  };
}
