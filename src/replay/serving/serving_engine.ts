import type {
  EngineJob,
  EngineWorld,
  JoinOrder,
  VirtualEngineView,
} from './types.js';
import type {EngineOrder} from '../../core/steward/types.js';
import type {
  EngineRecord,
  Membership,
  ModelSpec,
} from '../../core/fleet/types.js';
import type {VmId} from '../../core/ids/index.js';

/** Join time of an engine whose last replica had the same model. */
const SAME_MODEL_JOIN_MS = 200;
/** Maximum number of prompt tokens that a step reads. */
const MAX_STEP_TOKENS = 2048;
/** Capacity of the queue of an engine, as a multiple of its slots. */
const QUEUE_FACTOR = 2;

type OrderOutcome = 'begun' | 'done' | 'conflict' | 'outdated';

/** A simulated engine with the configured costs: it joins replicas and, as their head (rank 0), processes requests in passes of several steps. */
export class ServingEngine implements VirtualEngineView {
  isUp = true;
  /** The process has ended while the VM still runs, so that connections are refused. */
  refusesConnections = false;
  /** Factor by which passes take longer; 1 is normal speed. */
  slowdownFactor = 1;
  /** Whether its responses announce that it is leaving. */
  announcesLeaving = false;
  members: readonly VmId[] = [];
  private lastModel?: ModelSpec['name'];
  private highestEpoch = 0;
  private jobs: EngineJob[] = [];
  private isPassRunning = false;
  private stalledSinceMs?: number;
  /** What to do when the process goes on; undefined while it runs. */
  private deferred?: (() => void)[];
  /** Increases with each process start and each change of membership; invalidates pending work of earlier ones. */
  private generation = 0;

  constructor(
    public record: EngineRecord,
    private readonly world: EngineWorld,
  ) {}

  get isServing(): boolean {
    const stage = this.record.membership?.stage;
    return this.isUp && (stage === 'open' || stage === 'closing');
  }

  get inFlight(): number {
    return this.jobs.length;
  }

  /** Whether the process stands still: connections are accepted, and what they bring waits. */
  get isPaused(): boolean {
    return this.deferred !== undefined;
  }

  pause(): void {
    this.deferred ??= [];
  }

  resume(): void {
    const deferred = this.deferred ?? [];
    this.deferred = undefined;
    for (const run of deferred) run();
  }

  /** Runs now, or when the process goes on. */
  whenRunning(run: () => void): void {
    if (this.deferred) this.deferred.push(run);
    else run();
  }

  /** Ends the process: connections break, or stop responding if the VM has stopped (`isSilent`). */
  crash(isSilent: boolean): void {
    this.isUp = false;
    this.deferred = undefined;
    this.refusesConnections = !isSilent;
    this.generation += 1;
    const jobs = this.jobs.splice(0);
    if (!isSilent) for (const job of jobs) job.onFail('broken');
  }

  /** Starts a new process under the same ID; staged weights in the host's memory are kept. */
  restart(): void {
    this.isUp = true;
    this.refusesConnections = false;
    this.announcesLeaving = false;
    this.generation += 1;
    this.highestEpoch = 0;
    this.lastModel = undefined;
    this.members = [];
    this.updateRecord({
      ...this.record,
      membership: undefined,
      models: [],
      bornAtMs: this.world.nowMs,
      sequence: 0,
    });
  }

  leaveService(): void {
    this.updateRecord({...this.record, isLeaving: true});
  }

  order(order: EngineOrder): OrderOutcome {
    if (order.kind === 'join') return this.join(order);
    if (order.kind === 'stage') return this.stage(order.model);
    const {membership} = this.record;
    const isCurrentReplica =
      membership?.replicaId === order.replicaId &&
      membership.epoch === order.epoch;
    if (!isCurrentReplica || !membership) {
      return order.kind === 'leave' ? 'done' : 'conflict';
    }
    switch (order.kind) {
      case 'leave':
        this.failJobs('broken');
        this.setMembership(undefined);
        return 'begun';
      case 'open':
        return this.open(membership);
      case 'close':
        if (membership.stage !== 'open') return 'conflict';
        this.setMembership({...membership, stage: 'closing'});
        this.finishClosing();
        return 'begun';
    }
  }

  submit(job: EngineJob): void {
    const stage = this.record.membership?.stage;
    const limit = this.world.costs.slotCount * (1 + QUEUE_FACTOR);
    if (stage !== 'open' || this.jobs.length >= limit) {
      job.onFail('turned-away');
      return;
    }
    this.jobs.push(job);
    this.startPass();
  }

  cancel(attemptId: string): void {
    this.jobs = this.jobs.filter(job => job.attemptId !== attemptId);
    this.finishClosing();
  }

  private join(order: JoinOrder): OrderOutcome {
    const {world, record} = this;
    const {membership} = record;
    if (order.epoch < this.highestEpoch) return 'outdated';
    const isSame =
      membership?.replicaId === order.replicaId &&
      membership.epoch === order.epoch;
    if (isSame) {
      const isSameList = this.members.join() === order.members.join();
      return isSameList ? 'done' : 'outdated';
    }
    world.recordJoin(record.vmId, order);
    this.failJobs('broken');
    this.highestEpoch = order.epoch;
    this.members = order.members;
    const spec = world.costs.models.find(({name}) => name === order.model)!;
    const isStaged = record.stagedModels.includes(order.model);
    let joinMs = spec.warmUpMs;
    if (this.lastModel === order.model) joinMs = SAME_MODEL_JOIN_MS;
    else if (!isStaged) {
      world.recordWeightLoad(record.vmId);
      joinMs = spec.loadMs * world.weightLoadFactor();
    }
    this.lastModel = order.model;
    this.record = {...this.record, models: [order.model]};
    const rank = order.members.indexOf(record.vmId);
    const {replicaId, epoch} = order;
    this.setMembership({replicaId, epoch, rank, stage: 'joining'});
    const {generation} = this;
    this.after(joinMs, () => {
      if (this.generation !== generation) return;
      this.record = {...this.record, stagedModels: [order.model]};
      world.recordReady(record.vmId);
      this.setMembership({replicaId, epoch, rank, stage: 'ready'}, false);
    });
    return 'begun';
  }

  private stage(model: ModelSpec['name']): OrderOutcome {
    if (this.record.stagedModels.includes(model)) return 'done';
    const spec = this.world.costs.models.find(({name}) => name === model)!;
    this.world.recordWeightLoad(this.record.vmId);
    const {bornAtMs} = this.record;
    this.after(spec.loadMs * this.world.weightLoadFactor(), () => {
      if (!this.isUp || this.record.bornAtMs !== bornAtMs) return;
      this.updateRecord({...this.record, stagedModels: [model]});
    });
    return 'begun';
  }

  private open(membership: Membership): OrderOutcome {
    if (membership.stage === 'open') return 'done';
    if (membership.stage !== 'ready' || membership.rank !== 0) {
      return 'conflict';
    }
    const {generation} = this;
    this.after(this.world.costs.formMs, () => {
      if (this.generation !== generation) return;
      this.world.recordOpen(this.record.vmId);
      this.setMembership({...membership, stage: 'open'}, false);
    });
    return 'begun';
  }

  private startPass(): void {
    if (this.isPassRunning || !this.isServing || this.jobs.length === 0) return;
    if (this.isMemberMissing()) {
      this.stall();
      return;
    }
    this.isPassRunning = true;
    const {costs} = this.world;
    const running = [...this.jobs]
      .sort(
        (a, b) =>
          Number(b.hasStarted) - Number(a.hasStarted) || a.urgency - b.urgency,
      )
      .slice(0, costs.slotCount);
    let budget = MAX_STEP_TOKENS * costs.stepsPerPass;
    let promptTokens = 0;
    const generating: EngineJob[] = [];
    for (const job of running) {
      const tokens = Math.min(job.unreadTokens, budget);
      job.unreadTokens -= tokens;
      budget -= tokens;
      promptTokens += tokens;
      if (job.unreadTokens === 0) generating.push(job);
    }
    const stepMs = costs.stepMs + costs.stepMsPerSequence * generating.length;
    const passMs =
      this.resolvePassFactor() *
      (costs.stepsPerPass * stepMs + promptTokens / costs.readTokensPerMs);
    const {generation} = this;
    this.after(passMs, () =>
      this.whenMembersRun(() => {
        this.isPassRunning = false;
        if (this.generation !== generation) return;
        this.endPass(generating);
      }),
    );
  }

  /** A pass ends when all members have done their part. */
  private whenMembersRun(run: () => void): void {
    const paused = this.members
      .map(vmId => this.world.findEngine(vmId))
      .find(member => member?.isPaused);
    if (paused) paused.whenRunning(() => this.whenMembersRun(run));
    else run();
  }

  private endPass(generating: readonly EngineJob[]): void {
    if (this.isMemberMissing()) {
      this.stall();
      return;
    }
    for (const job of generating) {
      if (!this.jobs.includes(job)) continue;
      if (job.crashingPartId !== undefined) {
        this.world.crashByPart(this.record.vmId, job.crashingPartId);
        return;
      }
      if (!job.hasStarted) {
        this.world.recordRequestStart(this.record.vmId);
        job.onStart();
      }
      job.hasStarted = true;
      job.eventsLeft -= 1;
      job.onEvent();
      if (job.eventsLeft > 0) continue;
      this.jobs = this.jobs.filter(one => one !== job);
      job.onEnd();
    }
    this.finishClosing();
    this.startPass();
  }

  /** A member is missing: no pass makes progress, and after the stall time the head fails its requests. */
  private stall(): void {
    if (this.stalledSinceMs !== undefined) return;
    this.stalledSinceMs = this.world.nowMs;
    const {generation} = this;
    this.after(this.world.stallMs, () => {
      const {membership} = this.record;
      if (this.generation !== generation || !membership) return;
      const jobs = this.jobs.splice(0);
      for (const job of jobs) {
        job.onFail(job.hasStarted ? 'broken' : 'turned-away');
      }
      this.setMembership({...membership, stage: 'broken'});
    });
  }

  private isMemberMissing(): boolean {
    const {membership, vmId} = this.record;
    if (!membership) return true;
    return this.members.some(memberId => {
      if (memberId === vmId) return false;
      const other = this.world.findEngine(memberId);
      const memberMembership = other?.record.membership;
      return (
        !other?.isUp ||
        memberMembership?.replicaId !== membership.replicaId ||
        memberMembership.epoch !== membership.epoch
      );
    });
  }

  /** Slowdown of passes: a replica runs at the speed of its slowest member. */
  private resolvePassFactor(): number {
    const {costs} = this.world;
    const spec = costs.models.find(({name}) => name === this.record.models[0]);
    const slowdowns = this.members.map(
      vmId => this.world.findEngine(vmId)?.slowdownFactor ?? 1,
    );
    return (spec?.pace ?? 1) * Math.max(1, ...slowdowns);
  }

  private finishClosing(): void {
    const {membership} = this.record;
    if (membership?.stage !== 'closing' || this.jobs.length > 0) return;
    this.setMembership({...membership, stage: 'ready'});
  }

  private failJobs(fault: 'broken'): void {
    for (const job of this.jobs.splice(0)) job.onFail(fault);
  }

  private setMembership(
    membership: Membership | undefined,
    startsGeneration = true,
  ): void {
    if (startsGeneration) this.generation += 1;
    this.isPassRunning = false;
    this.stalledSinceMs = undefined;
    this.updateRecord({...this.record, membership});
  }

  private after(delayMs: number, run: () => void): void {
    this.world.after(delayMs, () => this.whenRunning(run));
  }

  private updateRecord(record: EngineRecord): void {
    this.record = record;
    this.world.publishRecord(record.vmId);
  }
}
