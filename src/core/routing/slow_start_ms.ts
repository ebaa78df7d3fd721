/** Duration of slow start, in which a readmitted target goes from one slot to all, in milliseconds. */
export const SLOW_START_MS = 8000;
