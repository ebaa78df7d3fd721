import {createHash} from 'node:crypto';
import type {Effect, EffectOf} from '../../core/effects/types.js';
import type {LoadRequest} from './load_request.js';
import type {RequestId} from '../../core/ids/index.js';
import type {RequestOutcome} from './request_outcome.js';
import type {VirtualFake} from '../virtual_fake.js';
import type {VirtualNode} from '../virtual_node.js';
import type {VirtualWorld} from '../virtual_world.js';
import {makeId} from '../../core/ids/index.js';

/** Maximum number of times that a caller sends one request. */
const MAX_SENDS = 5;
/** Time for which a caller keeps using one node. */
const ENTRY_KEPT_MS = 10_000;

/**
 * Callers that send the requests of a trace, and retry not-run refusals after
 * their `retryAfterMs`.
 */
export class VirtualCallers implements VirtualFake {
  readonly types = ['refuse', 'finishAnswer'] as const;
  readonly outcomes: RequestOutcome[] = [];
  private readonly byRequest = new Map<RequestId, RequestOutcome>();
  private readonly tokens = new Map<string, string>();

  constructor(private readonly world: VirtualWorld) {}

  /** Returns the outcome of the request that was sent under an id. */
  outcomeOf(requestId: RequestId): RequestOutcome {
    return this.byRequest.get(requestId)!;
  }

  /** Schedules the first send of every request. */
  start(requests: readonly LoadRequest[]): void {
    for (const request of requests) {
      const outcome: RequestOutcome = {
        request,
        sends: 0,
        attempts: 0,
        refusals: 0,
        cancelledAttempts: 0,
      };
      this.outcomes.push(outcome);
      this.world.time.after(request.atMs, () => this.send(outcome));
    }
  }

  handle(_node: VirtualNode, effect: Effect): void {
    const {nowMs} = this.world.time;
    if (effect.type === 'finishAnswer') {
      this.outcomeOf(effect.requestId).endedAtMs = nowMs;
    }
    if (effect.type === 'refuse') this.refused(effect);
  }

  private refused({requestId, refusal}: EffectOf<'refuse'>): void {
    const outcome = this.outcomeOf(requestId);
    outcome.refusals += 1;
    const {verdict, retryAfterMs} = refusal.body;
    if (verdict !== 'not-run' || retryAfterMs === undefined) return;
    if (outcome.sends >= MAX_SENDS) return;
    this.world.time.after(retryAfterMs, () => this.send(outcome));
  }

  private send(outcome: RequestOutcome): void {
    const {request} = outcome;
    const remainingMs =
      request.atMs + request.deadlineMs - this.world.time.nowMs;
    if (remainingMs <= 0) return;
    outcome.sends += 1;
    const number = this.byRequest.size;
    const requestId = makeId<RequestId>(`request-${number}`);
    this.byRequest.set(requestId, outcome);
    const isModel = request.service !== 'stock';
    this.chooseNode(request).dispatch({
      type: 'requestArrived',
      request: {
        requestId,
        tokenSha256: this.tokenSha256Of(request.client),
        service: request.service,
        kind: isModel ? 'model' : 'application',
        promptTokens: request.promptTokens,
        ...(request.maxOutputTokens === undefined
          ? {}
          : {maxOutputTokens: request.maxOutputTokens}),
        stream: isModel,
        deterministic: false,
        unrepeatable: false,
        bodyDigest: requestId,
        prefixHashes: request.prefix === undefined ? [] : [request.prefix],
        timeoutMs: remainingMs,
      },
    });
  }

  private tokenSha256Of(client: string): string {
    const organisation = client.split('/')[0]!;
    const known = this.tokens.get(organisation);
    if (known !== undefined) return known;
    const token = createHash('sha256').update(organisation).digest('hex');
    this.tokens.set(organisation, token);
    return token;
  }

  /**
   * Chooses a node by hash of client and period, so that a client changes nodes
   * every `ENTRY_KEPT_MS`.
   */
  private chooseNode(request: LoadRequest): VirtualNode {
    const nodes = [...this.world.nodes.values()];
    const period = Math.floor(this.world.time.nowMs / ENTRY_KEPT_MS);
    const hash = createHash('sha256').update(`${request.client}#${period}`);
    return nodes[hash.digest().readUInt32BE() % nodes.length]!;
  }
}
