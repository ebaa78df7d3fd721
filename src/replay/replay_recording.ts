import {createHash} from 'node:crypto';
import type {NodeEvent} from '../core/events/types.js';
import type {SelfState} from '../core/state/types.js';
import {createNodeState} from '../core/state/index.js';
import {reduce} from '../core/reduce.js';

interface RecordingHead {
  readonly kind: 'recording';
  readonly self: SelfState;
  readonly seed: number;
}

interface RecordingReport {
  readonly events: number;
  readonly effects: number;
  /** SHA-256 of all effects in hexadecimal; equal recordings give equal digests. */
  readonly digest: string;
}

/**
 * Applies a node's recorded events to the core; returns undefined when the text
 * is not a recording.
 */
export function replayRecording(text: string): RecordingReport | undefined {
  const [first, ...rest] = text.split('\n').filter(line => line !== '');
  if (first === undefined) return undefined;
  const head: RecordingHead = JSON.parse(first);
  if (head.kind !== 'recording') return undefined;
  const state = createNodeState(head.self, head.seed);
  const hash = createHash('sha256');
  let effects = 0;
  for (const line of rest) {
    const event: NodeEvent = JSON.parse(line);
    for (const effect of reduce(state, event)) {
      hash.update(JSON.stringify(effect) + '\n');
      effects += 1;
    }
  }
  return {events: rest.length, effects, digest: hash.digest('hex')};
}
