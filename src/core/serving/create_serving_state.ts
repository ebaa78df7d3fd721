import type {NodeId, ZoneId} from '../ids/index.js';
import type {ServingBounds, ServingState} from './types.js';
import {createAnnouncementState} from './announcements/index.js';
import {createExchangeState} from './relays/create_exchange_state.js';
import {createRandom} from '../random/index.js';
import {createRestoreState} from './restore/index.js';
import {createStewardState} from '../steward/create_steward_state.js';

const MAX_LIFE = 2 ** 31;

interface ServingSelf {
  readonly nodeId: NodeId;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly peerAddress?: string;
  readonly coreCount?: number;
  /** The whole system starts for the first time: no caller is there yet. */
  readonly isFirstStart?: boolean;
}

/** Creates the state of a node that knows nothing yet. */
export function createServingState(
  self: ServingSelf,
  bounds: ServingBounds,
  seed: number,
): ServingState {
  return {
    nodeId: self.nodeId,
    zone: self.zone,
    callerAddress: self.callerAddress,
    peerAddress: self.peerAddress ?? '',
    coreCount: self.coreCount ?? 1,
    exchange: createExchangeState(),
    bounds,
    restore: createRestoreState(),
    random: createRandom(seed),
    idCounter: 0,
    life: createRandom(seed).below(MAX_LIFE),
    configProvenAtMs: -Infinity,
    wasAccessProven: false,
    configReadAtMs: -Infinity,
    fleetReadAtMs: -Infinity,
    fleetKnownAtMs: -Infinity,
    holdRemovalsUntilMs: -Infinity,
    heldRemovals: new Map(),
    engineCount: 0,
    revisionSum: 0,
    engines: new Map(),
    departed: new Map(),
    newPeerAtMs: -Infinity,
    opinions: new Map(),
    lookedAtMs: new Map(),
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
    loads: new Map(),
    peers: new Map(),
    peerLoads: new Map(),
    registeredPeers: 0,
    patienceMs: new Map(),
    requests: new Map(),
    byAttempt: new Map(),
    waiting: new Map(),
    repeatWindows: new Map(),
    crashChecks: new Map(),
    crashSuspects: new Map(),
    hasExited: false,
    steward: createStewardState(!(self.isFirstStart ?? false)),
  };
}
