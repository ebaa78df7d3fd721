import type {CreditBook} from './credit_book.js';
import type {GroupKey} from './group_key.js';
import type {NodeId, TargetId} from '../ids/index.js';
import type {RoutingMessage} from '../peers/types.js';
import type {Step} from '../state/types.js';
import {findAllowedSlots} from '../routing/index.js';
import {makeId} from '../ids/index.js';
import {getOrCreateBook} from './get_or_create_book.js';

type Demand = Extract<RoutingMessage, {type: 'routing.demand'}>;
type Credits = Extract<RoutingMessage, {type: 'routing.credits'}>;

/** A new broker collects demands for this long before it lends, since nodes may hold credits of another broker. */
const WARM_UP_MS = 1200;
/** A holder without a demand for this long has no valid credits left; longer than credits are valid. */
const HOLDER_EXPIRY_MS = 3500;

/** Slots of one target, as counted for one demand. */
interface Lendable {
  readonly targetId: TargetId;
  readonly own: number;
  /** Slots that the demanding node could get beyond its work in flight. */
  idle: number;
  given: number;
  readonly slots: number;
}

/** Answers a node's demand: credits for its work in flight and its share of the group's idle slots. */
export function lendCredits(step: Step, from: NodeId, demand: Demand): Credits {
  const group = makeId<GroupKey>(demand.group);
  const book = getOrCreateBook(step, group);
  removeExpiredHolders(step, book);
  const own = new Map(demand.own);
  const holder = {
    limits: book.holders.get(from)?.limits ?? new Map(),
    own,
    weight: 1 + demand.queued + demand.started,
    heardAtMs: step.nowMs,
  };
  book.holders.set(from, holder);
  const isNew = step.nowMs - book.openedAtMs < WARM_UP_MS;
  if (isNew || book.targets.length === 0) {
    holder.limits = own;
    return {type: 'routing.credits', group: demand.group};
  }
  const lendables = book.targets.map(id => countSlots(step, book, from, id));
  distribute(lendables, shareOf(step, book, from));
  const limits = lendables
    .map(one => [one.targetId, one.own + one.given] as const)
    .filter(([, limit]) => limit > 0);
  holder.limits = new Map(limits);
  return {type: 'routing.credits', group: demand.group, limits};
}

function removeExpiredHolders(step: Step, book: CreditBook): void {
  for (const [nodeId, holder] of book.holders) {
    if (step.nowMs - holder.heardAtMs < HOLDER_EXPIRY_MS) continue;
    book.holders.delete(nodeId);
  }
}

/** Counts the slots of a target that neither other holders nor the work of the demanding node take up. */
function countSlots(
  step: Step,
  book: CreditBook,
  from: NodeId,
  targetId: TargetId,
): Lendable {
  const latest = book.excess.get(targetId) ?? [0];
  let others = Math.max(0, Math.min(...latest));
  for (const [nodeId, holder] of book.holders) {
    if (nodeId === from) continue;
    const used = holder.own.get(targetId) ?? 0;
    others += Math.max(used, holder.limits.get(targetId) ?? 0);
  }
  const slots = findAllowedSlots(step, targetId);
  const own = book.holders.get(from)!.own.get(targetId) ?? 0;
  const idle = Math.max(0, slots - others - own);
  return {targetId, own, idle, given: 0, slots};
}

/** The node's share of the group's idle slots in proportion to its demand; fractions are rounded at random. */
function shareOf(step: Step, book: CreditBook, from: NodeId): number {
  let idle = 0;
  for (const targetId of book.targets) {
    let used = 0;
    for (const holder of book.holders.values()) {
      used += holder.own.get(targetId) ?? 0;
    }
    idle += Math.max(0, findAllowedSlots(step, targetId) - used);
  }
  let weights = 0;
  for (const holder of book.holders.values()) weights += holder.weight;
  const share = (idle * book.holders.get(from)!.weight) / weights;
  return Math.floor(share + step.state.random.next());
}

/** Distributes slots one at a time, from the targets with the largest idle share first. */
function distribute(lendables: Lendable[], share: number): void {
  let left = share;
  while (left > 0) {
    const open = lendables.filter(one => one.idle > 0);
    if (open.length === 0) return;
    open.sort((a, b) => b.idle / b.slots - a.idle / a.slots);
    for (const one of open.slice(0, left)) {
      one.idle -= 1;
      one.given += 1;
      left -= 1;
    }
  }
}
