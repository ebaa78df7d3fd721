import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {noteSegment} from './note_segment.js';
import {parseSegment} from './parse_segment.js';
import {storeBackoffMs} from '../membership/index.js';

const BATCH_MS = 1000;

/** Handles the result of the read or write in flight. */
export function noteWriteResult(
  step: Step,
  {operationId, outcome}: EventOf<'storeResult'>,
): void {
  const {audit} = step.state;
  const {call} = audit;
  if (!call || call.operationId !== operationId) return;
  delete audit.call;
  switch (outcome.kind) {
    case 'ok':
      if (call.write) {
        const {records, settles} = call.write;
        const version = outcome.version ?? 0;
        noteSegment(step, {version, records}, settles);
        audit.nextWriteAtMs = step.nowMs + BATCH_MS;
      } else {
        noteSegment(step, parseSegment(outcome.entries?.[0]));
      }
      return;
    case 'conflict':
      noteSegment(step, parseSegment(outcome.current));
      return;
    case 'unknown':
    case 'unavailable':
      // A write may have taken effect: read the segment before the next write.
      delete audit.segment;
      audit.nextWriteAtMs = step.nowMs + storeBackoffMs(step.state);
  }
}
