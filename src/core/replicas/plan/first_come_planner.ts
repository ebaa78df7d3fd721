import type {PlanAction} from './plan_action.js';
import type {PlanReplica} from './plan_replica.js';
import type {PlanView} from './plan_view.js';
import type {ReplicaPlanner} from './replica_planner.js';
import {PlanDraft} from './plan_draft.js';
import {isIntact} from './is_intact.js';
import {planRolls} from './plan_rolls.js';
import {planSurplus} from './plan_surplus.js';

/**
 * Baseline for measurements: drains broken replicas, and creates missing ones in
 * the order of their service names, each in the first domain that fits.
 */
export class FirstComePlanner implements ReplicaPlanner {
  plan(view: PlanView): PlanAction[] {
    const draft = new PlanDraft(view);
    planSurplus(draft);
    for (const replica of view.replicas) {
      if (replica.entry.state !== 'draining' && !isIntact(replica)) {
        drain(draft, replica);
      }
    }
    createMissing(draft);
    planRolls(draft);
    return draft.actions;
  }
}

function drain(draft: PlanDraft, {domain, entry}: PlanReplica): void {
  const {replicaId} = entry;
  draft.addAction({kind: 'drain', domain, replicaId, reason: 'lost'});
}

function createMissing(draft: PlanDraft): void {
  const inOrder = [...draft.standings].sort((a, b) =>
    a.service.name < b.service.name ? -1 : 1,
  );
  for (const standing of inOrder) {
    const {name, vmsPerReplica} = standing.service;
    for (; standing.missing > 0; standing.missing--) {
      const domain = draft.domains.find(
        one => draft.countFree(one) >= vmsPerReplica,
      );
      if (domain === undefined) {
        standing.isBlocked = true;
        break;
      }
      const vms = draft.takeFree(domain, vmsPerReplica);
      draft.addAction({kind: 'create', domain, service: name, vms});
    }
  }
}
