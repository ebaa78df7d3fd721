import type {AttemptFault} from '../../core/serving/types.js';
import type {EngineCosts, EngineRecord} from '../../core/fleet/types.js';
import type {EngineOrder} from '../../core/steward/types.js';
import type {ModelName, VmId} from '../../core/ids/index.js';
import type {ServingRequest, ServingState} from '../../core/serving/types.js';

/** A request at a virtual engine. */
export interface EngineJob {
  readonly attemptId: string;
  readonly urgency: number;
  /** Prompt tokens that are still to be read. */
  unreadTokens: number;
  /** Events that are still to be sent. */
  eventsLeft: number;
  hasStarted: boolean;
  readonly onEvent: () => void;
  readonly onEnd: () => void;
  readonly onFail: (fault: AttemptFault) => void;
}

/** What an engine asks of the world that it is in. */
export interface EngineWorld {
  readonly nowMs: number;
  readonly costs: EngineCosts;
  readonly stallMs: number;
  after(delayMs: number, run: () => void): void;
  findEngine(vmId: VmId): VirtualEngineView | undefined;
  noteChange(vmId: VmId): void;
  noteJoin(vmId: VmId, order: JoinOrder): void;
  noteReady(vmId: VmId): void;
  noteStart(vmId: VmId): void;
  noteLoad(vmId: VmId): void;
  loadFactor(): number;
}

/** An order to join a replica. */
export type JoinOrder = Extract<EngineOrder, {kind: 'join'}>;

/** What engines see of each other. */
export interface VirtualEngineView {
  readonly record: EngineRecord;
  readonly isUp: boolean;
  readonly slowness: number;
  readonly members: readonly VmId[];
  /** The head of a replica that serves, or may go on to. */
  readonly isServing: boolean;
}

/** What became of a caller's request, over all its tries. */
export interface CallerOutcome {
  readonly kind: string;
  readonly model?: ModelName;
  readonly promptTokens: number;
  readonly arrivedAtMs: number;
  readonly goalMs: number;
  readonly gapGoalMs: number;
  firstMs?: number;
  longestGapMs: number;
  result?: 'whole' | 'refused' | 'failed' | 'cut';
  refusals: number;
  endedAtMs?: number;
}

/** A load on the system: one request of a caller. */
export interface WorldRequest {
  readonly kind: string;
  readonly path: string;
  readonly model: ServingRequest['model'];
  readonly promptTokens: number;
  readonly events: number;
  readonly apiKey?: string;
}

/** A serving node of a world. */
export interface WorldNode {
  state: ServingState;
  isUp: boolean;
}
