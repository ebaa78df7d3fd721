/** Validity of a peer's report that an engine is leaving: an engine that has left is no longer listed by then, and one that still runs announces it to this node itself. */
export const LEAVING_REPORT_TTL_MS = 20_000;
