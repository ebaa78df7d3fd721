import type {Step} from './step.js';

/** Emits a measurement; `src/metrics` lists the names. */
export function countMetric(
  step: Step,
  name: string,
  value: number,
  labels?: Readonly<Record<string, string>>,
): void {
  step.effects.push({type: 'metric', name, value, ...(labels && {labels})});
}
