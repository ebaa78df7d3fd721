import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import {groupOf} from './group_of.js';

/** Reports whose least excess counts; work under way between holder and target passes in fewer. */
const REPORTS_COMPARED = 3;

/** Compares a report with what the holders said: lasting excess is work of nodes that are not heard. */
export function noteExcess(step: Step, target: Target): void {
  const {credits, targets} = step.state;
  const {service, targetId, running, queued} = target;
  const size = targets.byService.get(service)?.size ?? 0;
  const book = credits.books.get(groupOf(service, targetId, size));
  if (!book) return;
  let told = 0;
  for (const holder of book.holders.values()) {
    told += holder.own.get(targetId) ?? 0;
  }
  const latest = book.excess.get(targetId) ?? [];
  latest.push(running + queued - told);
  if (latest.length > REPORTS_COMPARED) latest.shift();
  book.excess.set(targetId, latest);
}
