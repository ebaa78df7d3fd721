/** Age of what was at `atMs`, as digests tell it; -1 when it never was. */
export function ageOf(atMs: number, nowMs: number): number {
  return Number.isFinite(atMs) ? Math.max(0, Math.round(nowMs - atMs)) : -1;
}
