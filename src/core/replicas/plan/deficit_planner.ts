import type {PlanAction} from './plan_action.js';
import type {PlanView} from './plan_view.js';
import type {ReplicaPlanner} from './replica_planner.js';
import {PlanDraft} from './plan_draft.js';
import {planAdaptations} from './plan_adaptations.js';
import {planCreations} from './plan_creations.js';
import {planDonations} from './plan_donations.js';
import {planExchanges} from './plan_exchanges.js';
import {planRolls} from './plan_rolls.js';
import {planSurplus} from './plan_surplus.js';

/** Repairs replicas first, then creates missing ones by urgency where the fewest VMs are stranded. */
export class DeficitPlanner implements ReplicaPlanner {
  plan(view: PlanView): PlanAction[] {
    const draft = new PlanDraft(view);
    planSurplus(draft);
    planExchanges(draft);
    planDonations(draft);
    planAdaptations(draft);
    planCreations(draft);
    planRolls(draft);
    return draft.actions;
  }
}
