export type {Entry} from './entry.js';
export type {EntriesAnswer} from './entries_answer.js';
