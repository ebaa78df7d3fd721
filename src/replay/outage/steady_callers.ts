import {createHash} from 'node:crypto';
import type {Effect} from '../../core/effects/types.js';
import type {
  RequestId,
  ServiceName,
  TargetId,
  VmId,
  ZoneId,
} from '../../core/ids/index.js';
import type {VirtualFake} from '../virtual_fake.js';
import type {VirtualNode} from '../virtual_node.js';
import type {VirtualWorld} from '../virtual_world.js';
import {makeId} from '../../core/ids/index.js';
import {readiness} from '../../core/membership/index.js';

interface SentRequest {
  readonly atMs: number;
  readonly isUnrepeatable: boolean;
  endedAtMs?: number;
  verdict?: string;
}

const RESPONSE_MS = 120;
const TIMEOUT_MS = 10_000;
const UNREPEATABLE_EVERY = 10;
const SLOTS = 64;

/** Callers that send at a constant rate, and the one target that answers them. */
export class SteadyCallers implements VirtualFake {
  static readonly organisation = 'stables';
  static readonly service = 'bookings';
  static readonly token = 'token';
  readonly types = ['startAttempt', 'finishAnswer', 'refuse'] as const;
  readonly sent = new Map<RequestId, SentRequest>();

  constructor(private readonly world: VirtualWorld) {}

  /** Adds the target to the state of a node, without a VM list or a report. */
  addTarget(node: VirtualNode): void {
    const {targets} = node.state;
    const targetId = makeId<TargetId>('vm:stalls');
    const service = makeId<ServiceName>(SteadyCallers.service);
    targets.byId.set(targetId, {
      targetId,
      kind: 'application',
      service,
      adapters: [],
      vms: [makeId<VmId>('stalls')],
      address: 'stalls:1',
      zone: makeId<ZoneId>('z1'),
      slots: SLOTS,
      running: 0,
      queued: 0,
      tokensPerSecond: 0,
      reportedAtMs: 0,
      barChangedAtMs: 0,
    });
    targets.byService.set(service, new Set([targetId]));
  }

  /** Sends requests round-robin to the ready nodes until `untilMs`. */
  start(requestsPerSecond: number, untilMs: number): void {
    const {time, nodes} = this.world;
    const ready = [...nodes.values()].filter(
      node => node.isRunning && readiness(node.state, time.nowMs).ready,
    );
    const node = ready[this.sent.size % Math.max(1, ready.length)];
    if (node) this.send(node);
    if (time.nowMs >= untilMs) return;
    const pauseMs = 1000 / requestsPerSecond;
    time.after(pauseMs, () => this.start(requestsPerSecond, untilMs));
  }

  handle(node: VirtualNode, effect: Effect): void {
    const {time} = this.world;
    if (effect.type === 'startAttempt') {
      const {attemptId} = effect;
      node.dispatch({type: 'attemptHeadSent', attemptId});
      time.after(RESPONSE_MS, () => {
        node.dispatch({
          type: 'attemptEnded',
          attemptId,
          status: 200,
          tokens: 0,
        });
      });
    } else if (effect.type === 'finishAnswer') {
      this.recordEnd(effect.requestId, 'answered');
    } else if (effect.type === 'refuse') {
      this.recordEnd(effect.requestId, effect.refusal.body.verdict);
    }
  }

  private send(node: VirtualNode): void {
    const number = this.sent.size;
    const requestId = makeId<RequestId>(`request-${number}`);
    const isUnrepeatable = number % UNREPEATABLE_EVERY === 0;
    this.sent.set(requestId, {atMs: this.world.time.nowMs, isUnrepeatable});
    node.dispatch({
      type: 'requestArrived',
      request: {
        requestId,
        tokenSha256: sha256(SteadyCallers.token),
        service: SteadyCallers.service,
        kind: 'application',
        promptTokens: 0,
        stream: false,
        deterministic: false,
        unrepeatable: isUnrepeatable,
        ...(isUnrepeatable && {idempotencyKey: `key-${number}`}),
        bodyDigest: sha256(String(number)),
        prefixHashes: [],
        timeoutMs: TIMEOUT_MS,
      },
    });
  }

  private recordEnd(requestId: RequestId, verdict: string): void {
    const sent = this.sent.get(requestId);
    if (!sent || sent.verdict !== undefined) return;
    sent.verdict = verdict;
    sent.endedAtMs = this.world.time.nowMs;
  }
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
