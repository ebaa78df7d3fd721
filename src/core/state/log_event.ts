import type {Step} from './step.js';

/** Emits a log line. */
export function logEvent(
  step: Step,
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
