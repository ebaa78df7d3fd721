/** Age in whole ms of an event at `atMs`, as digests encode it; -1 when `atMs` is not finite (no such event). */
export function toAgeMs(atMs: number, nowMs: number): number {
  return Number.isFinite(atMs) ? Math.max(0, Math.round(nowMs - atMs)) : -1;
}
