import type {Branded} from '../ids/branded.js';
import type {Step} from './step.js';
import {makeId} from '../ids/index.js';

/** Creates an identifier that is unique over all nodes and incarnations. */
export function nextId<T extends Branded<string>>(step: Step, kind: string): T {
  step.state.idCounter += 1;
  const counter = step.state.idCounter.toString(36);
  return makeId<T>(`${kind}-${step.state.self.incarnation}-${counter}`);
}
