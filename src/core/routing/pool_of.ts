import {createHash} from 'node:crypto';
import type {NodeState, Step} from '../state/types.js';
import type {ServiceName, TargetId} from '../ids/index.js';
import {ServicePool} from './service_pool.js';
import {refreshTarget} from './refresh_target.js';

/** Targets of one service that a node uses; more gain nothing and cost memory. */
const MAX_MEMBERS = 128;
/** A pool is made anew at most this often. */
const MIN_AGE_MS = 1000;

/** The pool of a service; made anew when the service's targets changed in number. */
export function poolOf(step: Step, service: ServiceName): ServicePool {
  const {routing, targets} = step.state;
  const known = routing.pools.get(service);
  const size = targets.byService.get(service)?.size ?? 0;
  if (known && !isStale(step, known, size)) return known;
  const members = chooseMembers(step.state, service);
  const pool = new ServicePool(members, size, step.nowMs);
  if (known) forgetOthers(step, known, pool);
  routing.pools.set(service, pool);
  for (const targetId of pool.members) refreshTarget(step, targetId);
  return pool;
}

function isStale(step: Step, pool: ServicePool, size: number): boolean {
  if (step.nowMs - pool.madeAtMs < MIN_AGE_MS) return false;
  if (size !== pool.serviceSize) return true;
  return pool.isOutdated;
}

/** All targets, or those that hash closest to this node, so that nodes spread over all. */
function chooseMembers(
  state: NodeState,
  service: ServiceName,
): readonly TargetId[] {
  const ids = [...(state.targets.byService.get(service) ?? [])];
  if (ids.length <= MAX_MEMBERS) return ids;
  const ranked = ids.map(id => ({id, rank: rankOf(state, id)}));
  ranked.sort((a, b) => a.rank - b.rank);
  return ranked.slice(0, MAX_MEMBERS).map(({id}) => id);
}

function rankOf(state: NodeState, targetId: TargetId): number {
  const hash = createHash('sha256');
  hash.update(`${state.self.nodeId} ${targetId}`);
  return hash.digest().readUInt32BE();
}

/** Forgets accounts of targets that no longer exist. */
function forgetOthers(
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
