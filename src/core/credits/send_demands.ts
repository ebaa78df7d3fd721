import type {CreditGroup} from './credit_group.js';
import type {GroupKey} from './group_key.js';
import type {NodeId, ServiceName, TargetId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {brokerCandidates} from './broker_candidates.js';
import {brokerOf} from './broker_of.js';
import {lendCredits} from './lend_credits.js';
import {ownInFlight, poolOf} from '../routing/index.js';
import {queuedRequests} from '../admission/index.js';
import {applyCredits} from './apply_credits.js';

/** Interval between two demands of a node for one group. */
const DEMAND_INTERVAL_MS = 1000;
/** Interval between demands while requests are queued. */
const BUSY_INTERVAL_MS = 500;

/** Sends the demands that are due to the brokers of the groups that this node uses. */
export function sendDemands(step: Step): void {
  const due = dueGroups(step);
  if (due.length === 0) return;
  const nodes = brokerCandidates(step);
  for (const {key, service, targetIds} of due) {
    sendDemand(step, {key, service, targetIds, nodes});
  }
}

function dueGroups(step: Step): readonly DueGroup[] {
  const due: DueGroup[] = [];
  for (const service of step.state.admission.queues.keys()) {
    for (const [key, targetIds] of poolOf(step, service).groups) {
      const {nextDemandAtMs} = getOrCreateGroup(step, key);
      if (step.nowMs >= nextDemandAtMs) due.push({key, service, targetIds});
    }
  }
  return due;
}

interface DueGroup {
  readonly key: GroupKey;
  readonly service: ServiceName;
  readonly targetIds: readonly TargetId[];
}

interface DemandOptions extends DueGroup {
  readonly nodes: readonly NodeId[];
}

function sendDemand(step: Step, options: DemandOptions): void {
  const {key, service, targetIds, nodes} = options;
  const group = getOrCreateGroup(step, key);
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
  applyCredits(step, lendCredits(step, broker, demand));
}

function getOrCreateGroup(step: Step, key: GroupKey): CreditGroup {
  const {groups} = step.state.credits;
  const known = groups.get(key);
  if (known) return known;
  const phaseMs = step.state.random.nextInt(DEMAND_INTERVAL_MS);
  const group: CreditGroup = {
    limits: new Map(),
    freshUntilMs: 0,
    started: 0,
    nextDemandAtMs: step.nowMs + phaseMs,
  };
  groups.set(key, group);
  return group;
}
