import type {CrashMarker} from './types.js';
import type {Fingerprint, PromptPartId} from '../../ids/index.js';

/** Returns what a request may have in common with others that crash their targets. */
export function resolveMarkers({
  fingerprint,
  sharedPartIds,
}: {
  readonly fingerprint: Fingerprint;
  readonly sharedPartIds: readonly PromptPartId[];
}): CrashMarker[] {
  return [fingerprint, ...sharedPartIds];
}
