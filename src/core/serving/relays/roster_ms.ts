/** Pause between two rosters to the same node: nodes come and go in seconds. */
export const ROSTER_MS = 1000;
