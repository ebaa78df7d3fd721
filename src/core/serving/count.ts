import type {ServingStep} from './types.js';

/** Emits a measurement; `src/metrics` lists the names. */
export function count(
  step: ServingStep,
  name: string,
  value: number,
  labels?: Readonly<Record<string, string>>,
): void {
  step.effects.push({type: 'metric', name, value, ...(labels && {labels})});
}
