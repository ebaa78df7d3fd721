export type {Verdict} from './verdict.js';
export {worseVerdict} from './worse_verdict.js';
