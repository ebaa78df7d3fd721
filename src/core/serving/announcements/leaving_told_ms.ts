/** A peer's word that an engine leaves counts for this long: an engine that has left is listed no more by then, and one that has not says so itself. */
export const LEAVING_TOLD_MS = 20_000;
