import type {TargetBar} from './target_bar.js';
import type {
  DomainId,
  ReplicaId,
  ServiceName,
  TargetId,
  VmId,
  ZoneId,
} from '../ids/index.js';

/** Something that takes requests: a model replica or one application-service engine. */
export interface Target {
  readonly targetId: TargetId;
  readonly kind: 'model' | 'application';
  readonly service: ServiceName;
  readonly model?: string;
  readonly version?: string;
  readonly adapters: readonly string[];
  readonly replicaId?: ReplicaId;
  readonly vms: readonly VmId[];
  readonly address: string;
  readonly zone: ZoneId;
  readonly domain?: DomainId;
  readonly slots: number;
  /** Latest report, of the leader for a model replica. */
  running: number;
  queued: number;
  tokensPerSecond: number;
  reportedAtMs: number;
  /** Set while the target may get no new work. */
  bar?: TargetBar;
  /** When `bar` was last set or cleared. */
  barChangedAtMs: number;
}
