/** Seeded random numbers; the core has no other source of chance. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** A whole number in [0, bound). */
  below(bound: number): number;
  /** A short identifier. */
  token(): string;
}
