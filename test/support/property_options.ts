interface PropertyOptions {
  readonly numRuns: number;
  readonly seed: number;
}

/**
 * Options of a property test, with a fixed seed so that every run gives the same result.
 * `RHUBARBSTILE_SEED` overrides the seed to test other schedules; fast-check prints the seed of a failure.
 */
export function propertyOptions(
  numRuns: number,
  seed: number,
): PropertyOptions {
  const override = process.env['RHUBARBSTILE_SEED'];
  return {numRuns, seed: override === undefined ? seed : Number(override)};
}
