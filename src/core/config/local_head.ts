import type {ConfigHead} from './config_head.js';
import type {ConfigState} from './config_state.js';
import {CONFIG_TIMING} from './config_timing.js';
import {trimHead} from './trim_head.js';

/** Creates the head of the configuration in force at this node, to write it back to the store. */
export function localHead(config: ConfigState): ConfigHead {
  const parts = [...config.texts].map(
    ([key, {digest, revision}]) => [key, {digest, revision}] as const,
  );
  return trimHead({
    revision: config.document.revision,
    parts: Object.fromEntries(parts),
    removed: Object.fromEntries(config.removed),
    floorRevision: config.floorRevision,
    publications: config.publications.slice(
      0,
      CONFIG_TIMING.maxHeadPublications,
    ),
  });
}
