import type {ConfigHead} from './config_head.js';
import {CONFIG_TIMING} from './config_timing.js';

/** Drops the oldest removals and publications, so that the size of the head stays bounded. */
export function trimHead(head: ConfigHead): ConfigHead {
  const {maxHeadRemoved, maxHeadPublications} = CONFIG_TIMING;
  const removed = Object.entries(head.removed).sort((a, b) => b[1] - a[1]);
  const dropped = removed.slice(maxHeadRemoved).map(([, at]) => at);
  return {
    ...head,
    removed: Object.fromEntries(removed.slice(0, maxHeadRemoved)),
    floorRevision: Math.max(head.floorRevision, ...dropped),
    publications: head.publications.slice(0, maxHeadPublications),
  };
}
