/** Time in which live engines register again after the store is available again: two seconds plus a small margin. */
export const REREGISTRATION_MS = 2200;
