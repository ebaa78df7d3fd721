import type {ConfigCall} from './config_call.js';
import type {OperationId} from '../ids/index.js';
import type {StoreOutcome} from '../store/types.js';
import type {Step} from '../state/types.js';
import {finishReading} from './finish_reading.js';
import {textRecord} from './text_record.js';

type TextCall = Extract<ConfigCall, {purpose: 'text'}>;

/** Records the result of fetching a text of the head that is being read. */
export function noteText(
  step: Step,
  operationId: OperationId,
  call: TextCall,
  outcome: StoreOutcome,
): void {
  const {config} = step.state;
  const {reading} = config;
  if (!reading?.waiting.delete(operationId)) return;
  const [entry] = outcome.kind === 'ok' ? (outcome.entries ?? []) : [];
  const text = entry && textRecord.read(entry.value, call.digest);
  if (text === undefined) {
    // Reads the head again, unless a peer sends the revision first.
    delete config.reading;
    config.hasReadHead = false;
    return;
  }
  reading.texts.set(call.key, text);
  finishReading(step);
}
