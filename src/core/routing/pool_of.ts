import type {GroupKey} from '../credits/types.js';
import type {NodeState, Step} from '../state/types.js';
import type {ServiceName, TargetId} from '../ids/index.js';
import {ServicePool} from './service_pool.js';
import {groupOf} from '../credits/index.js';
import {hashText} from '../membership/index.js';
import {refreshTarget} from './refresh_target.js';

/** Maximum targets of one service that a node uses; more would cost memory without any gain. */
const MAX_MEMBERS = 128;
/** Credit groups that a node uses of a service with more targets than that. */
const MAX_GROUPS = 2;
/** Minimum interval between rebuilds of a pool, and between checks of its members. */
const MIN_AGE_MS = 1000;

/** Returns the pool of a service; rebuilds it when the service's targets changed. */
export function poolOf(step: Step, service: ServiceName): ServicePool {
  const {routing, targets} = step.state;
  const known = routing.pools.get(service);
  const size = targets.byService.get(service)?.size ?? 0;
  if (known && !isStale(step, known, size)) return known;
  const members = chooseMembers(step.state, service);
  const pool = new ServicePool(service, members, size, step.nowMs);
  if (known) dropRemovedTargets(step, known, pool);
  routing.pools.set(service, pool);
  for (const targetId of pool.members) refreshTarget(step, targetId);
  return pool;
}

function isStale(step: Step, pool: ServicePool, size: number): boolean {
  if (step.nowMs - pool.madeAtMs < MIN_AGE_MS) return false;
  if (size !== pool.serviceSize || pool.isOutdated) return true;
  if (step.nowMs - pool.checkedAtMs < MIN_AGE_MS) return false;
  pool.checkedAtMs = step.nowMs;
  return hasLostMember(step, pool);
}

/** A replaced target leaves the size of the service unchanged, so members are checked one by one. */
function hasLostMember(step: Step, pool: ServicePool): boolean {
  const {byId} = step.state.targets;
  for (const targetId of pool.members) {
    if (!byId.has(targetId)) return true;
  }
  return false;
}

/** All targets, or those of the groups that this node's hash ranks first, so that nodes spread over all. */
function chooseMembers(
  state: NodeState,
  service: ServiceName,
): readonly TargetId[] {
  const ids = [...(state.targets.byService.get(service) ?? [])];
  if (ids.length <= MAX_MEMBERS) return ids;
  const byGroup = new Map<GroupKey, TargetId[]>();
  for (const targetId of ids) {
    const key = groupOf(service, targetId, ids.length);
    const others = byGroup.get(key);
    if (others) others.push(targetId);
    else byGroup.set(key, [targetId]);
  }
  const rank = (key: GroupKey) => hashText(`${state.self.nodeId} ${key}`);
  return [...byGroup]
    .sort(([a], [b]) => rank(a) - rank(b))
    .slice(0, MAX_GROUPS)
    .flatMap(([, members]) => members);
}

/** Drops load accounts and prefixes of targets that no longer exist; keeps the average speed. */
function dropRemovedTargets(
  step: Step,
  before: ServicePool,
  after: ServicePool,
): void {
  const {routing, targets} = step.state;
  after.msPerToken = before.msPerToken;
  for (const targetId of before.members) {
    if (targets.byId.has(targetId)) continue;
    const load = routing.loads.get(targetId);
    if (load?.own.size === 0) routing.loads.delete(targetId);
    routing.prefixes.dropTarget(targetId);
  }
}
