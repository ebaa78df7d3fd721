import {createHash} from 'node:crypto';
import type {Effect, EffectOf} from '../../src/core/effects/types.js';
import type {
  AttemptId,
  NodeId,
  OrganisationId,
  RequestId,
  TargetId,
  VmId,
} from '../../src/core/ids/index.js';
import type {CallerRequest} from '../../src/core/requests/types.js';
import type {NodeState} from '../../src/core/state/types.js';
import type {SchedulingOptions} from '../../src/core/admission/types.js';
import type {UndatedEvent} from '../../src/core/events/types.js';
import {DEFAULT_SCHEDULING} from '../../src/core/admission/index.js';
import {createNodeState} from '../../src/core/state/index.js';
import {createPeer} from '../../src/replay/create_peer.js';
import {makeId} from '../../src/core/ids/index.js';
import {reduce} from '../../src/core/reduce.js';
import {seedConfig, seedTarget} from './seed_state.js';

const ROLES = {
  entry: true,
  relay: false,
  observer: false,
  broker: true,
  steward: false,
};

interface Options {
  readonly slots?: number;
  readonly targets?: number;
  readonly peers?: number;
  /** Scheduling options. Credits are off by default, so that the slots of targets are the only limit. */
  readonly schedulingOptions?: Partial<SchedulingOptions>;
  readonly name?: string;
}

/** The core of one node with a model service `chat`, for tests of scheduling. */
export class SchedulingNode {
  readonly state: NodeState;
  nowMs = 1000;
  effects: Effect[] = [];
  private sent = 0;
  private readonly sequences = new Map<string, number>();

  constructor(options: Options = {}) {
    const {slots = 2, targets = 1, peers = 0, name = 'node-0'} = options;
    const nodeId = makeId<NodeId>(name);
    this.state = createNodeState(
      {
        nodeId,
        incarnation: makeId(`${nodeId}/1`),
        zone: makeId('a'),
        region: 'r',
        callerAddress: '',
        controlAddress: '',
        roles: ROLES,
      },
      7,
    );
    seedConfig(this.state, 600_000);
    this.addOrganisation('large', 3);
    this.addOrganisation('small', 1);
    this.state.admission.options = {
      ...DEFAULT_SCHEDULING,
      credits: false,
      ...options.schedulingOptions,
    };
    for (let at = 0; at < targets; at++) {
      seedTarget(this.state, 'chat', `t${at}`, {slots});
    }
    for (let at = 1; at <= peers; at++) {
      const peer = createPeer({nodeId: makeId<NodeId>(`node-${at}`)});
      this.state.membership.peers.set(peer.nodeId, peer);
    }
  }

  addOrganisation(
    name: string,
    weight: number,
    limits: {maxInFlight?: number; maxRequestsPerSecond?: number} = {},
  ): void {
    const {document} = this.state.config;
    const organisation = makeId<OrganisationId>(name);
    const services = [...document.services.values()].map(service => ({
      ...service,
      organisations: [...service.organisations, organisation],
    }));
    this.state.config.document = {
      ...document,
      services: new Map(services.map(one => [one.name, one])),
      organisations: new Map(document.organisations).set(name, {
        name: organisation,
        tokenSha256: [hash(name)],
        weight,
        maxInFlight: 1e6,
        maxRequestsPerSecond: 1e6,
        ...limits,
      }),
    };
  }

  /** Applies an event and returns its effects. */
  dispatch(event: UndatedEvent): Effect[] {
    const produced = reduce(this.state, {...event, nowMs: this.nowMs});
    this.effects.push(...produced);
    return produced;
  }

  /** Advances time and delivers a tick. */
  wait(forMs: number): Effect[] {
    this.nowMs += forMs;
    return this.dispatch({type: 'tick'});
  }

  /** Delivers a request of an organisation. */
  submitRequest(
    organisation = 'large',
    fields: Partial<CallerRequest> = {},
  ): RequestId {
    const requestId = makeId<RequestId>(`r${this.sent++}`);
    this.dispatch({
      type: 'requestArrived',
      request: {
        requestId,
        tokenSha256: hash(organisation),
        service: 'chat',
        kind: 'model',
        promptTokens: 100,
        stream: true,
        deterministic: false,
        unrepeatable: false,
        bodyDigest: requestId,
        prefixHashes: [],
        ...fields,
      },
    });
    return requestId;
  }

  /** Attempts that were started, in order of their start. */
  get started(): EffectOf<'startAttempt'>[] {
    return this.effects.filter(one => one.type === 'startAttempt');
  }

  startedIds(): RequestId[] {
    return this.started.map(one => one.requestId);
  }

  refusalOf(requestId: RequestId): EffectOf<'refuse'> | undefined {
    return this.effects
      .filter(one => one.type === 'refuse')
      .find(one => one.requestId === requestId);
  }

  attemptOf(requestId: RequestId): AttemptId {
    return this.started.findLast(one => one.requestId === requestId)!.attemptId;
  }

  firstToken(requestId: RequestId): void {
    const attemptId = this.attemptOf(requestId);
    this.dispatch({type: 'attemptFirstToken', attemptId});
  }

  progress(requestId: RequestId, tokens: number): void {
    const attemptId = this.attemptOf(requestId);
    this.dispatch({type: 'attemptProgress', attemptId, tokens});
  }

  end(requestId: RequestId, tokens = 50): void {
    const attemptId = this.attemptOf(requestId);
    this.dispatch({type: 'attemptEnded', attemptId, status: 200, tokens});
  }

  fail(requestId: RequestId): void {
    this.dispatch({
      type: 'attemptFailed',
      attemptId: this.attemptOf(requestId),
      tokens: 0,
      failure: {verdict: 'not-run', cause: 'target-error', status: 500},
    });
  }

  /** Delivers a load report of a target that was created `ageMs` ago. */
  report(targetId: string, running: number, ageMs = 0): void {
    const sequence = (this.sequences.get(targetId) ?? 0) + 1;
    this.sequences.set(targetId, sequence);
    const target = this.state.targets.byId.get(makeId<TargetId>(targetId))!;
    target.running = running;
    target.reportedAtMs = this.nowMs - ageMs;
    this.dispatch({
      type: 'targetReported',
      ageMs,
      report: {
        vmId: makeId<VmId>(targetId),
        bootId: 'b',
        sequence,
        state: 'ready',
        slots: target.slots,
        running,
        queued: 0,
        tokensPerSecond: 100,
      },
    });
  }
}

function hash(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
