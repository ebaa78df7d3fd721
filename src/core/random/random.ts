/** Seeded random number generator; the only source of randomness in the core. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** An integer in [0, bound). */
  nextInt(bound: number): number;
  /** A short alphanumeric identifier. */
  token(): string;
}
