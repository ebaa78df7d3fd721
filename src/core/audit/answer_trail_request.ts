import type {AuditRecord} from './audit_record.js';
import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import type {StoreOutcome} from '../store/types.js';
import {createRefusal} from '../errors/index.js';
import {parseSegment} from './parse_segment.js';

/** Answers an operator's request for the trail with the stored records and those waiting on this node. */
export function answerTrailRequest(
  step: Step,
  {operationId, outcome}: EventOf<'storeResult'>,
): void {
  const {audit} = step.state;
  const question = audit.questions.get(operationId);
  if (!question) return;
  audit.questions.delete(operationId);
  if (outcome.kind !== 'ok') {
    const refusal = createRefusal('StoreUnavailable', 'not-run');
    step.effects.push({
      type: 'operatorAnswer',
      operationId: question.operationId,
      answer: {kind: 'refused', refusal},
    });
    return;
  }
  const records = collectRecords(outcome, audit.waiting);
  step.effects.push({
    type: 'operatorAnswer',
    operationId: question.operationId,
    answer: {
      kind: 'ok',
      data: {
        records: records.slice(-question.limit),
        waiting: audit.waiting.length,
        dropped: audit.dropped,
      },
    },
  });
}

function collectRecords(
  outcome: Extract<StoreOutcome, {kind: 'ok'}>,
  waiting: readonly AuditRecord[],
): AuditRecord[] {
  const byId = new Map<string, AuditRecord>();
  const written = (outcome.entries ?? []).flatMap(
    entry => parseSegment(entry).records,
  );
  for (const record of [...written, ...waiting]) {
    byId.set(record.recordId, record);
  }
  return [...byId.values()].sort((a, b) => a.atMs - b.atMs);
}
