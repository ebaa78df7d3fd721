import type {AttemptId, RequestId, TargetId} from '../../core/ids/index.js';
import type {Effect, EffectOf} from '../../core/effects/types.js';
import type {EngineReport} from '../../core/targets/types.js';
import type {LoadFleet} from './load_fleet.js';
import type {RequestOutcome} from './request_outcome.js';
import type {UndatedEvent} from '../../core/events/types.js';
import type {VirtualFake} from '../virtual_fake.js';
import type {VirtualNode} from '../virtual_node.js';
import type {VirtualWorld} from '../virtual_world.js';
import {VirtualEngine} from './virtual_engine.js';
import {makeId} from '../../core/ids/index.js';

const LATENCY_MS = 1;
const PREFIX_TOKENS_SHARE = 0.8;

interface LiveAttempt {
  readonly engine: VirtualEngine;
  readonly requestId: RequestId;
  isCancelled: boolean;
}

interface ReportDelivery {
  readonly targetId: TargetId;
  readonly report: EngineReport;
  readonly ageMs: number;
  readonly nowMs: number;
}

/** Runs attempts on virtual engines and sends their reports to all nodes. */
export class VirtualTargets implements VirtualFake {
  readonly types = ['startAttempt', 'cancelAttempt'] as const;
  readonly engines = new Map<TargetId, VirtualEngine>();
  private readonly refusing = new Set<TargetId>();
  private readonly attempts = new Map<AttemptId, LiveAttempt>();
  /** Tokens already delivered to the caller by earlier attempts of a request. */
  private readonly deliveredTokens = new Map<RequestId, number>();

  constructor(
    private readonly world: VirtualWorld,
    private readonly fleet: LoadFleet,
    private readonly outcomeOf: (id: RequestId) => RequestOutcome,
  ) {
    for (const service of fleet.services) {
      for (let at = 0; at < service.engines; at++) {
        const id = makeId<TargetId>(`${service.name}-${at}`);
        this.engines.set(id, new VirtualEngine(world.time, service.engine));
      }
    }
    this.scheduleStragglers();
    this.scheduleRefusers();
  }

  /** Starts the periodic reports, staggered over the engines. */
  startReports(): void {
    let at = 0;
    for (const [targetId, engine] of this.engines) {
      const phase = (at++ / this.engines.size) * this.fleet.reportIntervalMs;
      this.world.time.after(phase, () => this.report(targetId, engine, 1));
    }
  }

  handle(node: VirtualNode, effect: Effect): void {
    if (effect.type === 'startAttempt') this.startAttempt(node, effect);
    if (effect.type === 'cancelAttempt') this.cancelAttempt(effect.attemptId);
  }

  private startAttempt(
    node: VirtualNode,
    effect: EffectOf<'startAttempt'>,
  ): void {
    const {attemptId, requestId} = effect;
    const engine = this.engines.get(effect.targetId)!;
    const live: LiveAttempt = {engine, requestId, isCancelled: false};
    this.attempts.set(attemptId, live);
    const outcome = this.outcomeOf(requestId);
    outcome.attempts += 1;
    outcome.dispatchedAtMs ??= this.world.time.nowMs;
    this.dispatchAfter(node, 0, {type: 'attemptHeadSent', attemptId});
    this.world.time.after(LATENCY_MS, () => {
      if (live.isCancelled) return;
      if (this.refusing.has(effect.targetId)) this.refuseAttempt(node, effect);
      else this.runAttempt(node, effect, live);
    });
  }

  private refuseAttempt(
    node: VirtualNode,
    effect: EffectOf<'startAttempt'>,
  ): void {
    const {attemptId} = effect;
    this.attempts.delete(attemptId);
    this.dispatchAfter(node, LATENCY_MS, {
      type: 'attemptFailed',
      attemptId,
      tokens: 0,
      failure: {verdict: 'not-run', cause: 'target-refused', status: 503},
    });
  }

  private runAttempt(
    node: VirtualNode,
    {attemptId, requestId, priority}: EffectOf<'startAttempt'>,
    live: LiveAttempt,
  ): void {
    const outcome = this.outcomeOf(requestId);
    const {request} = outcome;
    const {time} = this.world;
    const delivered = this.deliveredTokens.get(requestId) ?? 0;
    const outputTokens = Math.max(1, request.outputTokens - delivered);
    live.engine.add({
      attemptId,
      promptTokens: request.promptTokens + delivered,
      outputTokens,
      priority,
      ...(request.prefix === undefined ? {} : {prefix: request.prefix}),
      prefixTokens: request.promptTokens * PREFIX_TOKENS_SHARE,
      onStart: () => (outcome.startedAtMs ??= time.nowMs),
      onFirstToken: () => {
        outcome.firstTokenAtMs ??= time.nowMs + LATENCY_MS;
        this.dispatchAfter(node, LATENCY_MS, {
          type: 'attemptFirstToken',
          attemptId,
        });
      },
      onProgress: tokens =>
        this.dispatchAfter(node, LATENCY_MS, {
          type: 'attemptProgress',
          attemptId,
          tokens,
        }),
      onEnd: () => {
        this.attempts.delete(attemptId);
        this.dispatchAfter(node, LATENCY_MS, {
          type: 'attemptEnded',
          attemptId,
          status: 200,
          tokens: outputTokens,
        });
      },
    });
  }

  private cancelAttempt(attemptId: AttemptId): void {
    const live = this.attempts.get(attemptId);
    if (!live) return;
    this.world.time.after(LATENCY_MS, () => {
      live.isCancelled = true;
      this.outcomeOf(live.requestId).cancelledAttempts += 1;
      if (!this.attempts.delete(attemptId)) return;
      const deliveredBefore = this.deliveredTokens.get(live.requestId) ?? 0;
      const generated = live.engine.cancel(attemptId);
      this.deliveredTokens.set(live.requestId, deliveredBefore + generated);
    });
  }

  private dispatchAfter(
    node: VirtualNode,
    delayMs: number,
    event: UndatedEvent,
  ): void {
    this.world.time.after(delayMs, () => node.dispatch(event));
  }

  private report(
    targetId: TargetId,
    engine: VirtualEngine,
    sequence: number,
  ): void {
    const {reportIntervalMs, reportLagMs} = this.fleet;
    const report: EngineReport = {
      vmId: makeId(targetId),
      bootId: 'boot',
      sequence,
      state: 'ready',
      slots: engine.options.slots,
      running: engine.running,
      queued: engine.queued,
      tokensPerSecond: (engine.tokensDone * 1000) / reportIntervalMs,
    };
    engine.tokensDone = 0;
    const {stored, evicted} = engine.cache.takeChanges();
    this.world.time.after(reportLagMs, () => {
      for (const node of this.world.nodes.values()) {
        deliverReport(node, {
          targetId,
          report,
          nowMs: this.world.time.nowMs,
          ageMs: reportLagMs,
        });
        if (stored.length + evicted.length === 0) continue;
        node.dispatch({
          type: 'targetCacheChanged',
          vmId: report.vmId,
          bootId: report.bootId,
          fromSequence: sequence - 1,
          toSequence: sequence,
          whole: false,
          stored,
          evicted,
        });
      }
    });
    this.world.time.after(reportIntervalMs, () =>
      this.report(targetId, engine, sequence + 1),
    );
  }

  private scheduleRefusers(): void {
    for (const one of this.fleet.refusers) {
      const id = makeId<TargetId>(`${one.service}-${one.engine}`);
      this.world.time.after(one.fromMs, () => this.refusing.add(id));
      this.world.time.after(one.untilMs, () => this.refusing.delete(id));
    }
  }

  private scheduleStragglers(): void {
    for (const one of this.fleet.stragglers) {
      const id = makeId<TargetId>(`${one.service}-${one.engine}`);
      const engine = this.engines.get(id)!;
      const set = (slowdown: number) => () => (engine.slowdown = slowdown);
      this.world.time.after(one.fromMs, set(one.slowdown));
      this.world.time.after(one.untilMs, set(1));
    }
  }
}

/** Updates the target in the node state, then dispatches the report to the core. */
function deliverReport(node: VirtualNode, delivery: ReportDelivery): void {
  const {targetId, report, ageMs, nowMs} = delivery;
  const target = node.state.targets.byId.get(targetId)!;
  target.running = report.running;
  target.queued = report.queued;
  target.tokensPerSecond = report.tokensPerSecond;
  target.reportedAtMs = nowMs - ageMs;
  node.dispatch({type: 'targetReported', report, ageMs});
}
