import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import {groupOf} from './group_of.js';

/** Number of reports whose smallest excess counts; work in transit to the target shows in fewer of them. */
const REPORTS_COMPARED = 3;

/** Compares an engine report with the work that holders reported: a lasting excess is work of other nodes. */
export function noteExcess(step: Step, target: Target): void {
  const {credits, targets} = step.state;
  const {service, targetId, running, queued} = target;
  const size = targets.byService.get(service)?.size ?? 0;
  const book = credits.books.get(groupOf(service, targetId, size));
  if (!book) return;
  let reportedByHolders = 0;
  for (const holder of book.holders.values()) {
    reportedByHolders += holder.own.get(targetId) ?? 0;
  }
  const latest = book.excess.get(targetId) ?? [];
  latest.push(running + queued - reportedByHolders);
  if (latest.length > REPORTS_COMPARED) latest.shift();
  book.excess.set(targetId, latest);
}
