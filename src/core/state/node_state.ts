import type {AdmissionState} from '../admission/types.js';
import type {AuditState} from '../audit/types.js';
import type {ConfigState} from '../config/types.js';
import type {CreditsState} from '../credits/types.js';
import type {DrainState} from '../drain/types.js';
import type {LimitsState} from '../limits/types.js';
import type {MembershipState} from '../membership/types.js';
import type {OnceState} from '../once/types.js';
import type {QuarantineState} from '../quarantine/types.js';
import type {Random} from '../random/index.js';
import type {ReplicasState} from '../replicas/types.js';
import type {RequestsState} from '../requests/types.js';
import type {RoutingState} from '../routing/types.js';
import type {SelfState} from './self_state.js';
import type {TargetsState} from '../targets/types.js';

/** Complete state of a node. Only the reducer changes it; other code reads it. */
export interface NodeState {
  readonly self: SelfState;
  readonly random: Random;
  /** Number of identifiers created by this incarnation. */
  idCounter: number;
  readonly admission: AdmissionState;
  readonly audit: AuditState;
  readonly config: ConfigState;
  readonly credits: CreditsState;
  readonly drain: DrainState;
  readonly limits: LimitsState;
  readonly membership: MembershipState;
  readonly once: OnceState;
  readonly quarantine: QuarantineState;
  readonly replicas: ReplicasState;
  readonly requests: RequestsState;
  readonly routing: RoutingState;
  readonly targets: TargetsState;
}
