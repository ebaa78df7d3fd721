/** Interval between rosters to the same node, since nodes join and leave within seconds. */
export const ROSTER_INTERVAL_MS = 1000;
