import {createAdmissionState} from '../admission/index.js';
import {createAuditState} from '../audit/index.js';
import {createConfigState} from '../config/index.js';
import {createCreditsState} from '../credits/index.js';
import {createDrainState} from '../drain/index.js';
import {createLimitsState} from '../limits/index.js';
import {createMembershipState} from '../membership/index.js';
import {createOnceState} from '../once/index.js';
import {createQuarantineState} from '../quarantine/index.js';
import {createRandom} from '../random/index.js';
import {createReplicasState} from '../replicas/index.js';
import {createRequestsState} from '../requests/index.js';
import {createRoutingState} from '../routing/index.js';
import {createTargetsState} from '../targets/index.js';
import type {NodeState} from './node_state.js';
import type {SelfState} from './self_state.js';

/** Creates the state of a node that has not started; `seed` determines all its random choices. */
export function createNodeState(self: SelfState, seed: number): NodeState {
  return {
    self,
    random: createRandom(seed),
    idCounter: 0,
    admission: createAdmissionState(),
    audit: createAuditState(),
    config: createConfigState(),
    credits: createCreditsState(),
    drain: createDrainState(),
    limits: createLimitsState(),
    membership: createMembershipState(),
    once: createOnceState(),
    quarantine: createQuarantineState(),
    replicas: createReplicasState(),
    requests: createRequestsState(),
    routing: createRoutingState(),
    targets: createTargetsState(),
  };
}
