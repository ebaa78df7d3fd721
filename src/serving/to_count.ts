/** Converts a decoded value to a number; 0 for anything that is not finite and positive. */
export function toCount(value: unknown): number {
  const number = Number(value);
  return Number.isFinite(number) && number > 0 ? number : 0;
}
