import type {TargetBar} from './target_bar.js';
import type {
  DomainId,
  ReplicaId,
  ServiceName,
  TargetId,
  VmId,
  ZoneId,
} from '../ids/index.js';

/** A destination of requests: a model replica, or one application-service engine. */
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
  /** Load from the latest report; of the leader for a model replica. */
  running: number;
  queued: number;
  tokensPerSecond: number;
  reportedAtMs: number;
  /** Set while the target must not receive new requests. */
  bar?: TargetBar;
  /** Time at which `bar` was last set or cleared. */
  barChangedAtMs: number;
}
