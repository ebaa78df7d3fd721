interface PropertyOptions {
  readonly numRuns: number;
  readonly seed: number;
}

/**
 * Options of a property test: a fixed seed, so that every run gives one verdict.
 * `RHUBARBSTILE_SEED` looks at other schedules; fast-check prints the seed of a failure.
 */
export function propertyOptions(
  numRuns: number,
  seed: number,
): PropertyOptions {
  const chosen = process.env['RHUBARBSTILE_SEED'];
  return {numRuns, seed: chosen === undefined ? seed : Number(chosen)};
}
