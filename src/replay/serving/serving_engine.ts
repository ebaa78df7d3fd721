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
const QUICK_JOIN_MS = 200;
/** Maximum number of prompt tokens that a step reads. */
const CHUNK_TOKENS = 2048;
/** Capacity of the queue of an engine, as a multiple of its slots. */
const QUEUE_FACTOR = 2;

type OrderAnswer = 'begun' | 'done' | 'conflict' | 'outdated';

/** A simulated engine with the configured costs: it joins replicas and, as their head (rank 0), processes requests in passes of several steps. */
export class ServingEngine implements VirtualEngineView {
  isUp = true;
  /** Factor by which passes take longer; 1 is normal speed. */
  slowness = 1;
  /** Whether its responses announce that it is leaving. */
  saysItLeaves = false;
  members: readonly VmId[] = [];
  private lastModel?: ModelSpec['name'];
  private highestEpoch = 0;
  private jobs: EngineJob[] = [];
  private isPassing = false;
  private stalledSinceMs?: number;
  /** Increases with each process start and each change of membership; invalidates pending work of earlier ones. */
  private life = 0;

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

  /** Ends the process: connections break, or stop responding if the VM is gone (`isSilent`). */
  crash(isSilent: boolean): void {
    this.isUp = false;
    this.life += 1;
    const jobs = this.jobs.splice(0);
    if (!isSilent) for (const job of jobs) job.onFail('broken');
  }

  /** Starts a new process under the same ID; staged weights in the host's memory are kept. */
  restart(): void {
    this.isUp = true;
    this.saysItLeaves = false;
    this.life += 1;
    this.highestEpoch = 0;
    this.lastModel = undefined;
    this.members = [];
    this.change({
      ...this.record,
      membership: undefined,
      models: [],
      bornAtMs: this.world.nowMs,
      sequence: 0,
    });
  }

  leaveService(): void {
    this.change({...this.record, isLeaving: true});
  }

  order(order: EngineOrder): OrderAnswer {
    if (order.kind === 'join') return this.join(order);
    if (order.kind === 'stage') return this.stage(order.model);
    const {membership} = this.record;
    const isMeant =
      membership?.replicaId === order.replicaId &&
      membership.epoch === order.epoch;
    if (!isMeant || !membership) {
      return order.kind === 'leave' ? 'done' : 'conflict';
    }
    switch (order.kind) {
      case 'leave':
        this.dropJobs('broken');
        this.setMembership(undefined);
        return 'begun';
      case 'open':
        return this.open(membership);
      case 'close':
        if (membership.stage !== 'open') return 'conflict';
        this.setMembership({...membership, stage: 'closing'});
        this.endClosing();
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
    this.endClosing();
  }

  private join(order: JoinOrder): OrderAnswer {
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
    world.noteJoin(record.vmId, order);
    this.dropJobs('broken');
    this.highestEpoch = order.epoch;
    this.members = order.members;
    const spec = world.costs.models.find(({name}) => name === order.model)!;
    const isStaged = record.stagedModels.includes(order.model);
    let joinMs = spec.warmUpMs;
    if (this.lastModel === order.model) joinMs = QUICK_JOIN_MS;
    else if (!isStaged) {
      world.noteLoad(record.vmId);
      joinMs = spec.loadMs * world.loadFactor();
    }
    this.lastModel = order.model;
    this.record = {...this.record, models: [order.model]};
    const rank = order.members.indexOf(record.vmId);
    const {replicaId, epoch} = order;
    this.setMembership({replicaId, epoch, rank, stage: 'joining'});
    const {life} = this;
    world.after(joinMs, () => {
      if (this.life !== life) return;
      this.record = {...this.record, stagedModels: [order.model]};
      world.noteReady(record.vmId);
      this.setMembership({replicaId, epoch, rank, stage: 'ready'}, false);
    });
    return 'begun';
  }

  private stage(model: ModelSpec['name']): OrderAnswer {
    if (this.record.stagedModels.includes(model)) return 'done';
    const spec = this.world.costs.models.find(({name}) => name === model)!;
    this.world.noteLoad(this.record.vmId);
    const {bornAtMs} = this.record;
    this.world.after(spec.loadMs * this.world.loadFactor(), () => {
      if (!this.isUp || this.record.bornAtMs !== bornAtMs) return;
      this.change({...this.record, stagedModels: [model]});
    });
    return 'begun';
  }

  private open(membership: Membership): OrderAnswer {
    if (membership.stage === 'open') return 'done';
    if (membership.stage !== 'ready' || membership.rank !== 0) {
      return 'conflict';
    }
    const {life} = this;
    this.world.after(this.world.costs.formMs, () => {
      if (this.life !== life) return;
      this.setMembership({...membership, stage: 'open'}, false);
    });
    return 'begun';
  }

  private startPass(): void {
    if (this.isPassing || !this.isServing || this.jobs.length === 0) return;
    if (this.isStandingStill()) {
      this.stall();
      return;
    }
    this.isPassing = true;
    const {costs} = this.world;
    const running = [...this.jobs]
      .sort(
        (a, b) =>
          Number(b.hasStarted) - Number(a.hasStarted) || a.urgency - b.urgency,
      )
      .slice(0, costs.slotCount);
    let budget = CHUNK_TOKENS * costs.stepsPerPass;
    let readTokens = 0;
    const writers: EngineJob[] = [];
    for (const job of running) {
      const tokens = Math.min(job.unreadTokens, budget);
      job.unreadTokens -= tokens;
      budget -= tokens;
      readTokens += tokens;
      if (job.unreadTokens === 0) writers.push(job);
    }
    const stepMs = costs.stepMs + costs.stepMsPerSequence * writers.length;
    const passMs =
      this.paceFactor() *
      (costs.stepsPerPass * stepMs + readTokens / costs.readTokensPerMs);
    const {life} = this;
    this.world.after(passMs, () => {
      this.isPassing = false;
      if (this.life !== life) return;
      this.endPass(writers);
    });
  }

  private endPass(writers: readonly EngineJob[]): void {
    if (this.isStandingStill()) {
      this.stall();
      return;
    }
    for (const job of writers) {
      if (!this.jobs.includes(job)) continue;
      if (!job.hasStarted) this.world.noteStart(this.record.vmId);
      job.hasStarted = true;
      job.eventsLeft -= 1;
      job.onEvent();
      if (job.eventsLeft > 0) continue;
      this.jobs = this.jobs.filter(one => one !== job);
      job.onEnd();
    }
    this.endClosing();
    this.startPass();
  }

  /** A member is missing: no pass makes progress, and after the stall time the head fails its requests. */
  private stall(): void {
    if (this.stalledSinceMs !== undefined) return;
    this.stalledSinceMs = this.world.nowMs;
    const {life} = this;
    this.world.after(this.world.stallMs, () => {
      const {membership} = this.record;
      if (this.life !== life || !membership) return;
      const jobs = this.jobs.splice(0);
      for (const job of jobs) {
        job.onFail(job.hasStarted ? 'broken' : 'turned-away');
      }
      this.setMembership({...membership, stage: 'broken'});
    });
  }

  private isStandingStill(): boolean {
    const {membership, vmId} = this.record;
    if (!membership) return true;
    return this.members.some(memberId => {
      if (memberId === vmId) return false;
      const other = this.world.findEngine(memberId);
      const theirs = other?.record.membership;
      return (
        !other?.isUp ||
        theirs?.replicaId !== membership.replicaId ||
        theirs.epoch !== membership.epoch
      );
    });
  }

  /** Slowdown of passes: a replica runs at the speed of its slowest member. */
  private paceFactor(): number {
    const {costs} = this.world;
    const spec = costs.models.find(({name}) => name === this.record.models[0]);
    const slowest = this.members.map(
      vmId => this.world.findEngine(vmId)?.slowness ?? 1,
    );
    return (spec?.pace ?? 1) * Math.max(1, ...slowest);
  }

  private endClosing(): void {
    const {membership} = this.record;
    if (membership?.stage !== 'closing' || this.jobs.length > 0) return;
    this.setMembership({...membership, stage: 'ready'});
  }

  private dropJobs(fault: 'broken'): void {
    for (const job of this.jobs.splice(0)) job.onFail(fault);
  }

  private setMembership(
    membership: Membership | undefined,
    isNewLife = true,
  ): void {
    if (isNewLife) this.life += 1;
    this.isPassing = false;
    this.stalledSinceMs = undefined;
    this.change({...this.record, membership});
  }

  private change(record: EngineRecord): void {
    this.record = record;
    this.world.noteChange(record.vmId);
  }
}
