import type {CreditGroup} from './credit_group.js';
import type {GroupKey} from './group_key.js';
import type {NodeId, ServiceName, TargetId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {brokerCandidates} from './broker_candidates.js';
import {brokerOf} from './broker_of.js';
import {groupOf} from './group_of.js';
import {lendCredits} from './lend_credits.js';
import {ownInFlight, poolOf} from '../routing/index.js';
import {queuedRequests} from '../admission/index.js';
import {takeCredits} from './take_credits.js';

/** Time between two demands of a node for one group. */
const DEMAND_INTERVAL_MS = 1000;
/** The same while requests wait. */
const BUSY_INTERVAL_MS = 500;

/** Asks the broker of each group that this node uses for credits, when it is time. */
export function sendDemands(step: Step): void {
  const {queues} = step.state.admission;
  const nodes = brokerCandidates(step);
  for (const service of queues.keys()) {
    const members = groupMembers(step, service);
    for (const [key, targetIds] of members) {
      sendDemand(step, {key, service, targetIds, nodes});
    }
  }
}

interface DemandOptions {
  readonly key: GroupKey;
  readonly service: ServiceName;
  readonly targetIds: readonly TargetId[];
  readonly nodes: readonly NodeId[];
}

function sendDemand(step: Step, options: DemandOptions): void {
  const {key, service, targetIds, nodes} = options;
  const group = openGroup(step, key);
  if (step.nowMs < group.nextDemandAtMs) return;
  const queued = queuedRequests(step, service);
  const intervalMs = queued > 0 ? BUSY_INTERVAL_MS : DEMAND_INTERVAL_MS;
  group.nextDemandAtMs = step.nowMs + intervalMs;
  const own = targetIds
    .map(targetId => [targetId, ownInFlight(step.state, targetId)] as const)
    .filter(([, count]) => count > 0);
  const demand = {
    type: 'routing.demand',
    group: key,
    queued,
    started: group.started,
    own,
  } as const;
  group.started = 0;
  const broker = brokerOf(key, nodes);
  if (broker !== step.state.self.nodeId) {
    step.effects.push({
      type: 'peerSend',
      to: broker,
      message: demand,
      urgent: true,
    });
    return;
  }
  takeCredits(step, lendCredits(step, broker, demand));
}

function openGroup(step: Step, key: GroupKey): CreditGroup {
  const {groups} = step.state.credits;
  const known = groups.get(key);
  if (known) return known;
  const phaseMs = step.state.random.below(DEMAND_INTERVAL_MS);
  const group: CreditGroup = {
    limits: new Map(),
    freshUntilMs: 0,
    started: 0,
    nextDemandAtMs: step.nowMs + phaseMs,
  };
  groups.set(key, group);
  return group;
}

/** Targets that this node uses, by group. */
function groupMembers(
  step: Step,
  service: ServiceName,
): Map<GroupKey, TargetId[]> {
  const groups = new Map<GroupKey, TargetId[]>();
  const size = step.state.targets.byService.get(service)?.size ?? 0;
  for (const targetId of poolOf(step, service).members) {
    const key = groupOf(service, targetId, size);
    const others = groups.get(key);
    if (others) others.push(targetId);
    else groups.set(key, [targetId]);
  }
  return groups;
}
