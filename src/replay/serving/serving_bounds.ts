import type {ServingBounds} from '../../core/serving/types.js';

/** Bounds of a typical deployment. */
export const SERVING_BOUNDS: ServingBounds = {
  accessProofMs: 4000,
  repeatRatio: 0.2,
  repeatSlack: 300,
  repeatWindowMs: 10_000,
  graceMs: 8000,
  stallMs: 6000,
  loadWindowMs: 5000,
  listingMs: 3600,
  coldOvershoot: 1.5,
  coldTolerance: 5,
};
