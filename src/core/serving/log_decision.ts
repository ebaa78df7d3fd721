import type {ServingStep} from './types.js';

/** Emits the log line of a decision. */
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
