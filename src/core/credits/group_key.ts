import type {Branded} from '../ids/branded.js';

/** Identifies a group of targets of one service: `<service>#<number>`. */
export type GroupKey = Branded<'GroupKey'>;
