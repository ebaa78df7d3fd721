import type {ServingStep} from './types.js';

/** Emits a log line as an effect, since the reducer does no I/O. */
export function logDecision(
  step: ServingStep,
  level: 'debug' | 'info' | 'warn' | 'error',
  area: string,
  message: string,
  fields?: Readonly<Record<string, unknown>>,
): void {
  step.effects.push({
    type: 'log',
    level,
    area,
    message,
    ...(fields && {fields}),
  });
}
