/** An engine that was found lost is asked again by use after this time, when the store still lists it. */
export const LOST_FOR_MS = 20_000;
