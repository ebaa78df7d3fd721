import type {ServingStep} from './types.js';

/** Emits a metric value; `src/metrics` defines the names. */
export function count(
  step: ServingStep,
  name: string,
  value: number,
  labels?: Readonly<Record<string, string>>,
): void {
  step.effects.push({type: 'metric', name, value, ...(labels && {labels})});
}
