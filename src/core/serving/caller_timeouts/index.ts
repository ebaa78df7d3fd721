export {estimateFirstSentAtMs} from './estimate_first_sent_at_ms.js';
export type * from './types.js';
