import type {ConfigChange} from './config_change.js';
import type {ConfigHead} from './config_head.js';
import type {ConfigState} from './config_state.js';
import type {Step} from '../state/types.js';
import {applyChanges} from './apply_changes.js';

/** Puts the head that is being read in force once all its texts have arrived. */
export function finishReading(step: Step): void {
  const {config} = step.state;
  const {reading} = config;
  if (!reading || reading.waiting.size > 0) return;
  const {head, texts} = reading;
  const isFirst = config.document.revision === 0;
  applyChanges(step, {
    toRevision: head.revision,
    changes: [
      ...changedParts(config, head, texts),
      ...removedParts(config, head),
    ],
    publications: head.publications,
  });
  if (isFirst) config.floorRevision = head.floorRevision;
}

function changedParts(
  config: ConfigState,
  head: ConfigHead,
  texts: ReadonlyMap<string, string>,
): ConfigChange[] {
  return Object.entries(head.parts).flatMap(([key, {revision}]) => {
    const text = texts.get(key);
    if (text !== undefined) return [{key, text, revision}];
    const known = config.texts.get(key);
    // The same text was published again at a later revision.
    if (known && known.revision < revision) {
      config.texts.set(key, {...known, revision});
    }
    return [];
  });
}

function removedParts(config: ConfigState, head: ConfigHead): ConfigChange[] {
  const missing = [...config.texts.keys()].filter(key => !(key in head.parts));
  const unknown = Object.keys(head.removed).filter(
    key => !config.texts.has(key) && !config.removed.has(key),
  );
  return [...missing, ...unknown].map(key => ({
    key,
    text: null,
    revision: head.removed[key] ?? head.revision,
  }));
}
