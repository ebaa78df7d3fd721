import type {CreditBook} from './credit_book.js';
import type {GroupKey} from './group_key.js';
import type {ServiceName} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {groupOf} from './group_of.js';
import {makeId} from '../ids/index.js';

/** Shortest time between two listings of the targets of a group. */
const RELIST_MS = 1000;

/** Returns the book of a group for which this node is the broker, created or updated as needed. */
export function getOrCreateBook(step: Step, group: GroupKey): CreditBook {
  const {credits, targets} = step.state;
  const service = makeId<ServiceName>(group.slice(0, group.lastIndexOf('#')));
  const ids = targets.byService.get(service);
  const size = ids?.size ?? 0;
  let book = credits.books.get(group);
  if (!book) {
    book = {
      openedAtMs: step.nowMs,
      holders: new Map(),
      excess: new Map(),
      targets: [],
      serviceSize: 0,
      listedAtMs: -Infinity,
    };
    credits.books.set(group, book);
  }
  const isExpired = step.nowMs - book.listedAtMs >= RELIST_MS;
  if (!isExpired && size === book.serviceSize) return book;
  book.targets = [...(ids ?? [])].filter(
    targetId => groupOf(service, targetId, size) === group,
  );
  book.serviceSize = size;
  book.listedAtMs = step.nowMs;
  return book;
}
