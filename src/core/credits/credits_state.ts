import type {CreditBook} from './credit_book.js';
import type {CreditGroup} from './credit_group.js';
import type {GroupKey} from './group_key.js';

/** Credits that this node borrows, and the books of the groups for which it is the broker. */
export interface CreditsState {
  readonly groups: Map<GroupKey, CreditGroup>;
  readonly books: Map<GroupKey, CreditBook>;
}
