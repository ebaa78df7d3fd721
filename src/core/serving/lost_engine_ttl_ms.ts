/** An engine found to be lost receives requests again after this time if the store still lists it. */
export const LOST_ENGINE_TTL_MS = 20_000;
