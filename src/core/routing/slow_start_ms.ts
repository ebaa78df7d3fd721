/** Time in which a target that returns goes from one slot to all, in milliseconds. */
export const SLOW_START_MS = 8000;
