import type {
  AccessConfig,
  Route,
  RouteKind,
} from '../../src/core/access/types.js';
import type {EngineRecord} from '../../src/core/fleet/types.js';
import type {
  Fingerprint,
  NodeId,
  OrganisationId,
  RequestId,
  ServiceName,
  VmId,
  ZoneId,
} from '../../src/core/ids/index.js';
import type {
  LoadDigest,
  ServingEffect,
  ServingEvent,
  ServingRequest,
  ServingState,
} from '../../src/core/serving/types.js';
import {SERVING_BOUNDS} from '../../src/replay/serving/index.js';
import {
  createServingState,
  reduceServing,
} from '../../src/core/serving/index.js';
import {indexRoutes} from '../../src/core/access/index.js';
import {makeId} from '../../src/core/ids/index.js';

const DESK = makeId<ServiceName>('desk');

type EffectOf<T extends ServingEffect['type']> = Extract<
  ServingEffect,
  {type: T}
>;

/** The serving core of one node with three engines of an application service, driven by the test in virtual time. */
export class ServingNodeHarness {
  nowMs = 1_000_000;
  readonly state: ServingState;
  readonly effects: ServingEffect[] = [];
  private count = 0;

  constructor(bounds: Partial<typeof SERVING_BOUNDS> = {}, seed = 7) {
    this.state = createServingState(
      {
        nodeId: makeId<NodeId>('n0'),
        zone: makeId<ZoneId>('zone'),
        callerAddress: '10.0.0.1:80',
        peerAddress: '10.0.0.1:7340',
        isFirstStart: true,
      },
      {...SERVING_BOUNDS, ...bounds},
      seed,
    );
    this.state.steward.hasTraffic = true;
  }

  /** Dispatches the configuration and the engines that a node reads at its start. */
  start(): this {
    this.dispatch({
      type: 'configRead',
      config: createTestConfig(1),
      provenAtMs: this.nowMs,
    });
    this.dispatch({type: 'peersRegistered', nodes: []});
    this.dispatch({type: 'fleetProven', provenAtMs: this.nowMs});
    this.dispatch({
      type: 'fleetListed',
      changes: [0, 1, 2].map(at => {
        const engine = createTestEngine(at);
        return {vmId: engine.vmId, revision: engine.revision, engine};
      }),
      revision: 10,
    });
    return this;
  }

  dispatch(event: ServingEvent): void {
    const dated = {...event, nowMs: this.nowMs};
    this.effects.push(...reduceServing(this.state, dated));
  }

  /** Advances the time in ticks of 50 ms, with proofs of the configuration unless `isProven` is false. */
  advance(ms: number, options: {readonly isProven?: boolean} = {}): void {
    const untilMs = this.nowMs + ms;
    while (this.nowMs < untilMs) {
      this.nowMs = Math.min(untilMs, this.nowMs + 50);
      if (options.isProven !== false) {
        this.dispatch({type: 'configRead', provenAtMs: this.nowMs});
      }
      this.dispatch({type: 'tick'});
    }
  }

  submitRequest(
    kind: RouteKind,
    overrides: Partial<ServingRequest> = {},
  ): RequestId {
    this.count += 1;
    const requestId = makeId<RequestId>(`r${this.count}`);
    this.dispatch({
      type: 'requestArrived',
      request: {
        requestId,
        callerId: `c${this.count}`,
        host: 'host',
        path: `/${kind}/x`,
        apiKey: 'key',
        callerTimeoutMs: 3000,
        arrivedAtMs: this.nowMs,
        promptTokens: 0,
        sharedPartIds: [],
        fingerprint: makeId<Fingerprint>(`f${this.count}`),
        ...overrides,
      },
    });
    return requestId;
  }

  /** Removes the pending effects of a type and returns them. */
  takeEffects<T extends ServingEffect['type']>(type: T): EffectOf<T>[] {
    const taken = this.effects.filter(
      (effect): effect is EffectOf<T> => effect.type === type,
    );
    const left = this.effects.filter(effect => effect.type !== type);
    this.effects.splice(0, this.effects.length, ...left);
    return taken;
  }

  /** Answers the pending probes of engines, except those of `silent` ones. */
  answerProbes(silent: readonly VmId[] = []): void {
    for (const {vmId} of this.takeEffects('probeEngine')) {
      if (silent.includes(vmId)) continue;
      this.dispatch({type: 'probeAnswered', vmId, outcome: 'answered'});
    }
  }

  createPeerDigest(overrides: Partial<LoadDigest> = {}): LoadDigest {
    return {
      scope: 'node',
      peerAddress: '10.0.0.2:7340',
      coreCount: 1,
      nodeCount: 1,
      roster: [],
      from: makeId<NodeId>('n1'),
      incarnation: 1,
      sentAtMs: this.nowMs,
      zone: makeId<ZoneId>('zone'),
      callerAddress: '10.0.0.2:80',
      isReady: true,
      isLeaving: false,
      isSteward: false,
      unreachableServices: [],
      changes: [],
      storeEra: 0,
      configVersion: 1,
      configProofAgeMs: -1,
      engineCount: 3,
      revisionSum: 6,
      fleetProofAgeMs: -1,
      loads: [],
      predecessors: [],
      limits: [],
      departed: [],
      probeRequests: [],
      probeReports: [],
      suspects: [],
      crashReports: [],
      survivals: [],
      lostEngines: [],
      leavingEngines: [],
      ...overrides,
    };
  }
}

/** A configuration with one route of each kind; version 2 adds the route `/new/`. */
export function createTestConfig(version: number): AccessConfig {
  const route = (kind: RouteKind, name: string = kind): Route => ({
    name,
    host: 'host',
    pathPrefix: `/${name}/`,
    kind,
    isResumable: kind === 'streaming',
    isAnonymous: false,
    timeoutMs: 2000,
    goalMs: 200,
    gapGoalMs: 200,
    priority: 2,
    maxAttempts: kind === 'unsafe' ? 1 : 2,
    shares: [{service: DESK, weight: 1}],
  });
  const routes = [route('safe'), route('unsafe'), route('streaming')];
  if (version > 1) routes.push(route('safe', 'new'));
  return {
    version,
    routesByHost: indexRoutes(routes),
    services: new Map([[DESK, {name: DESK}]]),
    organisationsByKey: new Map([
      ['key', {organisationId: makeId<OrganisationId>('organisation')}],
    ]),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** An engine of the application service. */
export function createTestEngine(at: number): EngineRecord {
  return {
    vmId: makeId<VmId>(`e${at}`),
    service: DESK,
    address: `10.0.1.${at}:80`,
    zone: makeId<ZoneId>('zone'),
    slotCount: 6,
    isLeaving: false,
    bornAtMs: 1,
    models: [],
    stagedModels: [],
    sequence: 1,
    revision: at + 1,
  };
}
