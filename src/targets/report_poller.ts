import {Agent} from 'node:http';
import PQueue from 'p-queue';
import type {Effect, EffectOf} from '../core/effects/types.js';
import type {EffectHandler, NodeContext} from '../runtime/types.js';
import type {EngineReport} from '../core/targets/types.js';
import type {VmId} from '../core/ids/index.js';
import {callTarget} from './call_target.js';
import {parseCacheChange} from './parse_cache_change.js';
import {parseReport} from './parse_report.js';

const CONCURRENCY = 64;
const POLL_TIMEOUT_MS = 1000;
/** Number of report polls per poll of cache changes. */
const REPORTS_PER_CACHE_POLL = 2;

interface Poll {
  readonly vmId: VmId;
  address: string;
  intervalMs: number;
  timer: NodeJS.Timeout;
  count: number;
  /** Boot to which `cacheSequence`, the last cache change that was processed, belongs. */
  cacheBootId?: string;
  cacheSequence: number;
}

/** Polls engines for reports, and leaders of replicas also for cache changes. */
export class ReportPoller implements EffectHandler {
  readonly types = ['setPolls'] as const;
  private readonly polls = new Map<VmId, Poll>();
  private readonly agent = new Agent({keepAlive: true, maxSockets: 2});
  private readonly queue = new PQueue({concurrency: CONCURRENCY});

  constructor(private readonly context: NodeContext) {}

  handle(effect: Effect): void {
    const {polls, intervalMs} = effect as EffectOf<'setPolls'>;
    const wanted = new Set(polls.map(poll => poll.vmId));
    for (const vmId of this.polls.keys()) {
      if (!wanted.has(vmId)) this.stop(vmId);
    }
    for (const {vmId, address} of polls) this.start(vmId, address, intervalMs);
  }

  async close(): Promise<void> {
    this.destroy();
  }

  destroy(): void {
    for (const vmId of [...this.polls.keys()]) this.stop(vmId);
    this.queue.clear();
    this.agent.destroy();
  }

  private start(vmId: VmId, address: string, intervalMs: number): void {
    const existing = this.polls.get(vmId);
    if (existing) {
      existing.address = address;
      existing.intervalMs = intervalMs;
      return;
    }
    // Spreads the first polls of many VMs over one interval, 200 ms at most.
    const delayMs = Math.random() * Math.min(intervalMs, 200);
    const timer = setTimeout(() => this.enqueue(vmId), delayMs);
    const poll = {vmId, address, intervalMs, timer, count: 0, cacheSequence: 0};
    this.polls.set(vmId, poll);
  }

  private stop(vmId: VmId): void {
    clearTimeout(this.polls.get(vmId)?.timer);
    this.polls.delete(vmId);
  }

  private enqueue(vmId: VmId): void {
    void this.queue.add(async () => {
      const poll = this.polls.get(vmId);
      if (!poll) return;
      const startedAtMs = this.context.clock.nowMs();
      await this.poll(poll);
      if (this.polls.get(vmId) !== poll) return;
      const elapsedMs = this.context.clock.nowMs() - startedAtMs;
      const delayMs = Math.max(0, poll.intervalMs - elapsedMs);
      poll.timer = setTimeout(() => this.enqueue(vmId), delayMs);
    });
  }

  private async poll(poll: Poll): Promise<void> {
    const {vmId} = poll;
    const startedAtMs = this.context.clock.nowMs();
    const call = await this.get(poll, '/control/report');
    const report =
      call.status === 200 ? parseReport(call.body ?? '') : undefined;
    if (report?.vmId !== vmId) {
      const refused = call.failure === 'refused';
      this.dispatch({type: 'targetReportFailed', vmId, refused});
      return;
    }
    // The engine created the report at some time since the call began, so this age is an upper bound.
    const ageMs = this.context.clock.nowMs() - startedAtMs;
    this.dispatch({type: 'targetReported', report, ageMs});
    poll.count += 1;
    const isLeader = report.assignment?.leader === vmId;
    if (isLeader && poll.count % REPORTS_PER_CACHE_POLL === 0) {
      await this.pollCache(poll, report);
    }
  }

  private async pollCache(poll: Poll, {bootId}: EngineReport): Promise<void> {
    if (poll.cacheBootId !== bootId) {
      poll.cacheBootId = bootId;
      poll.cacheSequence = 0;
    }
    const path = `/control/cacheEvents?since=${poll.cacheSequence}`;
    const call = await this.get(poll, path);
    const change =
      call.status === 200 ? parseCacheChange(call.body ?? '') : undefined;
    if (!change) return;
    const isUnseen = change.whole || change.toSequence > poll.cacheSequence;
    poll.cacheSequence = change.toSequence;
    if (!isUnseen) return;
    const {vmId} = poll;
    this.dispatch({type: 'targetCacheChanged', vmId, ...change});
  }

  private get(poll: Poll, path: string) {
    const {agent} = this;
    const timeoutMs = POLL_TIMEOUT_MS;
    const {address} = poll;
    this.context.metrics.count('targetPolls', 1);
    return callTarget({address, method: 'GET', path, timeoutMs, agent});
  }

  private dispatch(
    event: Parameters<NodeContext['events']['dispatch']>[0],
  ): void {
    this.context.events.dispatch(event);
  }
}
