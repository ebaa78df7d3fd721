import type {EngineRecord, ReplicaView} from './types.js';
import {replicaKey} from './replica_key.js';

/** Groups engines by the replica that each reports as its own; keys are those of `replicaKey`. */
export function buildReplicas(
  engines: Iterable<EngineRecord>,
): Map<string, ReplicaView> {
  const replicas = new Map<
    string,
    ReplicaView & {
      head?: EngineRecord;
      readonly members: Map<number, EngineRecord>;
    }
  >();
  for (const engine of engines) {
    const {membership} = engine;
    if (!membership) continue;
    const key = replicaKey(membership.replicaId, membership.epoch);
    let replica = replicas.get(key);
    if (!replica) {
      replica = {
        replicaId: membership.replicaId,
        epoch: membership.epoch,
        service: engine.service,
        domain: engine.domain,
        members: new Map(),
      };
      replicas.set(key, replica);
    }
    replica.members.set(membership.rank, engine);
    if (membership.rank === 0) replica.head = engine;
  }
  return replicas;
}
