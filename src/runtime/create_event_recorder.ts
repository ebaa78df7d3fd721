import type {NodeEvent} from '../core/events/types.js';
import type {SelfState} from '../core/state/types.js';
import type {Settings} from '../settings/types.js';
import {createWriteStream} from 'node:fs';

interface EventRecorder {
  readonly record?: (event: NodeEvent) => void;
  close(): Promise<void>;
}

/** Writes a node's events as JSON lines if the settings name a file; the first line contains the node and its seed. */
export function createEventRecorder(
  settings: Settings,
  self: SelfState,
  seed: number,
): EventRecorder {
  const {path} = settings.record;
  if (path === undefined) return {close: async () => {}};
  const file = createWriteStream(path, {flags: 'w'});
  file.on('error', () => {}); // a failed recording must not stop the node
  file.write(JSON.stringify({kind: 'recording', self, seed}) + '\n');
  return {
    record: event => void file.write(JSON.stringify(event) + '\n'),
    close: () => new Promise(resolve => file.end(() => resolve())),
  };
}
