import type {OperationId} from '../ids/index.js';
import type {ReplicaEntry} from './replica_entry.js';
import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import {callStewardStore} from './call_steward_store.js';
import {documentKey} from './document_key.js';
import {resolveSpares} from './resolve_spares.js';
import {nextId} from '../state/index.js';

/** Replaces the domain's document unless it was changed in the store since it was read. */
export function writeDocument(
  step: Step,
  stewardship: Stewardship,
  replicas: readonly ReplicaEntry[],
): void {
  const {domain, fencingToken, version} = stewardship;
  const writerNonce = nextId<OperationId>(step, 'w');
  const spares = resolveSpares(
    step,
    domain,
    replicas,
    stewardship.document?.spares ?? [],
  );
  stewardship.writing = {
    domain,
    fencingToken,
    replicas,
    spares,
    writerNonce,
  };
  callStewardStore(step, stewardship, 'write', {
    kind: 'compareAndSwap',
    key: documentKey(domain),
    expectedVersion: version,
    value: JSON.stringify(stewardship.writing),
  });
}
