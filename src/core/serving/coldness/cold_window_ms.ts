/** Window in which an owner counts its sends. Engines count arrivals in one second; the rest covers sends that reach the engine at different speeds. */
export const COLD_WINDOW_MS = 1200;
