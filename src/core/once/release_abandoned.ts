import type {OnceClaim} from './once_claim.js';
import type {Step} from '../state/types.js';
import type {StoreOutcome} from '../store/types.js';
import {STORE_PRIORITY} from '../store/index.js';
import {callStore} from '../state/index.js';
import {oncePath} from './once_path.js';
import {parseOnceEntry} from './parse_once_entry.js';

/** Removes the entry of a claim that was given up while its call was out. */
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
  const found = outcome.entries[0];
  const entry = found && parseOnceEntry(found.value);
  return entry?.nonce === claim.nonce ? found?.version : undefined;
}
