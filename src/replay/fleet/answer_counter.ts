import type {Effect} from '../../core/effects/types.js';
import type {VirtualFake} from '../virtual_fake.js';
import type {VirtualNode} from '../virtual_node.js';

/** Counts the requests that callers got answered or refused. */
export class AnswerCounter implements VirtualFake {
  readonly types = ['finishAnswer', 'refuse'] as const;
  answered = 0;
  refused = 0;

  handle(_node: VirtualNode, effect: Effect): void {
    if (effect.type === 'finishAnswer') this.answered += 1;
    if (effect.type === 'refuse') this.refused += 1;
  }
}
