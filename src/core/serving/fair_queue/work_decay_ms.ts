/**
 * Time constant of the counts of admitted work. It spans a few requests of each
 * organisation at the usual rates, and an organisation that has stopped is treated
 * as new after some 15 s.
 */
export const WORK_DECAY_MS = 5000;
