export {createCreditsState} from './create_credits_state.js';
export {creditLimit} from './credit_limit.js';
export {groupOf} from './group_of.js';
export {noteCreditUsed} from './note_credit_used.js';
export {noteExcess} from './note_excess.js';
export {reduceCredits} from './reduce_credits.js';
export type * from './types.js';
