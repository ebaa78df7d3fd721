import type {PlanDraft} from './plan_draft.js';
import type {ServiceStanding} from './service_standing.js';
import {findPlace} from './find_place.js';
import {makeRoom} from './make_room.js';

/** Places missing replicas, the most urgent service first. */
export function planCreations(draft: PlanDraft): void {
  for (const standing of draft.standings) {
    while (standing.missing > 0 && !standing.isBlocked) {
      if (create(draft, standing) || makeRoom(draft, standing)) {
        standing.missing -= 1;
      } else {
        standing.isBlocked = true;
      }
    }
  }
}

function create(draft: PlanDraft, standing: ServiceStanding): boolean {
  const domain = findPlace(draft, standing);
  if (domain === undefined) return false;
  const {name, vmsPerReplica} = standing.service;
  const vms = draft.takeFree(domain, vmsPerReplica);
  return draft.addAction({kind: 'create', domain, service: name, vms});
}
