import type {EngineChange} from './types.js';
import {isEngineRecord} from './is_engine_record.js';

/** Whether a value that another node sends is a change of an engine's entry. */
export function isEngineChange(value: unknown): value is EngineChange {
  const change = value as Partial<EngineChange> | null | undefined;
  return (
    typeof change === 'object' &&
    change !== null &&
    typeof change.vmId === 'string' &&
    Number.isSafeInteger(change.revision) &&
    (change.engine === undefined || isEngineRecord(change.engine))
  );
}
