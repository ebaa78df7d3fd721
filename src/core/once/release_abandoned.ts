import type {OnceClaim} from './once_claim.js';
import type {Step} from '../state/types.js';
import type {StoreOutcome} from '../store/types.js';
import {STORE_PRIORITY} from '../store/index.js';
import {callStore} from '../state/index.js';
import {oncePath} from './once_path.js';
import {parseOnceEntry} from './parse_once_entry.js';

/** Removes the entry of a claim that was abandoned while its store call was pending. */
export function releaseAbandoned(
  step: Step,
  claim: OnceClaim,
  outcome: StoreOutcome,
): void {
  const version = ownVersion(claim, outcome);
  if (version === undefined) return;
  const operation = {
    kind: 'compareAndSwap',
    key: oncePath(claim.onceKey),
    expectedVersion: version,
    value: null,
  } as const;
  callStore(step, 'once', operation, {priority: STORE_PRIORITY.membership});
}

function ownVersion(
  claim: OnceClaim,
  outcome: StoreOutcome,
): number | undefined {
  if (claim.phase === 'recording' || claim.phase === 'releasing') return;
  if (outcome.kind !== 'ok') return undefined;
  if (!outcome.entries) return outcome.version;
  const current = outcome.entries[0];
  const entry = current && parseOnceEntry(current.value);
  return entry?.nonce === claim.nonce ? current?.version : undefined;
}
