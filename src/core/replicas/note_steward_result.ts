import type {DomainDocument} from './domain_document.js';
import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import type {StoreEntry, StoreOutcome} from '../store/types.js';
import type {Stewardship} from './stewardship.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {adoptDocument} from './adopt_document.js';
import {callStewardStore} from './call_steward_store.js';
import {dropStewardship} from './drop_stewardship.js';
import {readDocument} from './read_document.js';
import {stewardKey} from './steward_key.js';
import {stewardRecord} from './steward_record.js';
import {takeOver} from './take_over.js';

/** Applies the result of a stewardship's store call. */
export function noteStewardResult(
  step: Step,
  {operationId, outcome}: EventOf<'storeResult'>,
): void {
  for (const stewardship of step.state.replicas.stewardships.values()) {
    if (stewardship.operationId !== operationId) continue;
    const {operation} = stewardship;
    delete stewardship.operationId;
    delete stewardship.operation;
    if (operation === 'claim') noteClaim(step, stewardship, outcome);
    if (operation === 'read-claim') noteClaimRead(step, stewardship, outcome);
    if (operation === 'read') noteRead(step, stewardship, outcome);
    if (operation === 'write') noteWrite(step, stewardship, outcome);
    if (operation === 'weights') noteWeights(step, stewardship, outcome);
    return;
  }
}

function noteClaim(
  step: Step,
  stewardship: Stewardship,
  outcome: StoreOutcome,
): void {
  if (outcome.kind === 'ok') {
    beginReading(step, stewardship);
  } else if (outcome.kind === 'unknown') {
    const key = stewardKey(stewardship.domain);
    callStewardStore(step, stewardship, 'read-claim', {kind: 'get', key});
  } else {
    if (outcome.kind === 'conflict') noteHolder(step, outcome.current);
    dropStewardship(step, stewardship, 'claim failed');
  }
}

function noteHolder({state}: Step, holder: StoreEntry | undefined): void {
  const {entries} = state.replicas.stewardWatch;
  if (!holder) return;
  const known = entries.get(holder.key)?.version ?? 0;
  if (holder.version > known) entries.set(holder.key, holder);
}

function noteClaimRead(
  step: Step,
  stewardship: Stewardship,
  outcome: StoreOutcome,
): void {
  const value = outcome.kind === 'ok' ? outcome.entries?.[0]?.value : undefined;
  if (value === stewardRecord(step)) {
    beginReading(step, stewardship);
  } else {
    dropStewardship(step, stewardship, 'claim did not take effect');
  }
}

function beginReading(step: Step, stewardship: Stewardship): void {
  stewardship.phase = 'reading';
  readDocument(step, stewardship);
}

function noteRead(
  step: Step,
  stewardship: Stewardship,
  outcome: StoreOutcome,
): void {
  if (outcome.kind !== 'ok') {
    stewardship.retryAtMs = step.nowMs + STEWARD_TIMING.retryMs;
    return;
  }
  noteDocument(step, stewardship, outcome.entries?.[0]);
}

/** Continues from the stored document, which may be this steward's own write. */
function noteDocument(
  step: Step,
  stewardship: Stewardship,
  entry: StoreEntry | undefined,
): void {
  const document = entry && (JSON.parse(entry.value) as DomainDocument);
  const {writing, phase, fencingToken} = stewardship;
  delete stewardship.writing;
  const isSuperseded = document && document.fencingToken > fencingToken;
  if (phase === 'reading' && fencingToken > 0 && isSuperseded) {
    dropStewardship(step, stewardship, 'another steward took over');
  } else if (phase === 'reading') {
    takeOver(step, stewardship, document, entry?.version ?? 0);
  } else if (document && document.writerNonce === writing?.writerNonce) {
    noteWritten(step, stewardship, document, entry.version);
  } else if (document && document.fencingToken >= fencingToken) {
    if (phase === 'active' && document.fencingToken === fencingToken) {
      adoptDocument(step, stewardship, document, entry.version);
    } else {
      dropStewardship(step, stewardship, 'another steward took over');
    }
  } else {
    takeOver(step, stewardship, document, entry?.version ?? 0);
  }
}

function noteWrite(
  step: Step,
  stewardship: Stewardship,
  outcome: StoreOutcome,
): void {
  const {writing} = stewardship;
  if (outcome.kind === 'ok') {
    delete stewardship.writing;
    noteWritten(step, stewardship, writing!, outcome.version!);
  } else if (outcome.kind === 'conflict') {
    noteDocument(step, stewardship, outcome.current);
  } else {
    // The write may have taken effect: the document is read before anything else.
    stewardship.retryAtMs = step.nowMs;
  }
}

function noteWritten(
  step: Step,
  stewardship: Stewardship,
  document: DomainDocument,
  version: number,
): void {
  if (stewardship.phase === 'taking-over') {
    stewardship.phase = 'active';
    const {leaseTtlMs, orderTimeoutMs} = STEWARD_TIMING;
    const isFirst = document.fencingToken === 1;
    const waitMs = isFirst ? 0 : leaseTtlMs + orderTimeoutMs;
    stewardship.firstOrderAtMs = step.nowMs + waitMs;
  }
  adoptDocument(step, stewardship, document, version);
}

function noteWeights(
  step: Step,
  stewardship: Stewardship,
  outcome: StoreOutcome,
): void {
  const {weightsFor, grants} = stewardship;
  delete stewardship.weightsFor;
  stewardship.weightsAtMs = step.nowMs + STEWARD_TIMING.retryMs;
  if (outcome.kind !== 'ok' || weightsFor === undefined) return;
  const granted = outcome.granted ?? 0;
  grants.set(weightsFor, (grants.get(weightsFor) ?? 0) + granted);
  stewardship.weightsAtMs = step.nowMs + (outcome.retryAfterMs ?? 0);
}
