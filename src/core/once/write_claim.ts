import type {OnceClaim} from './once_claim.js';
import type {Step} from '../state/types.js';
import {callOnce} from './call_once.js';
import {createOnceEntry} from './create_once_entry.js';
import {oncePath} from './once_path.js';

/** Writes a claim if the key has the expected version: absent, or the claim that it takes over. */
export function writeClaim(step: Step, claim: OnceClaim): void {
  const {info} = claim.record!;
  const entry = createOnceEntry(step, claim, info, {state: 'claimed'});
  callOnce(step, claim, {
    kind: 'compareAndSwap',
    key: oncePath(claim.onceKey),
    expectedVersion: claim.version,
    value: JSON.stringify(entry),
  });
}
