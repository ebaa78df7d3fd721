import type {NodeId} from '../ids/index.js';
import {hashText} from '../membership/hash_text.js';

const SEGMENTS = 64;

/** Key of the segment that a node writes to; nodes may share one. */
export function segmentKey(nodeId: NodeId): string {
  const segment = Math.floor(hashText(nodeId) * SEGMENTS);
  return `audit/${String(segment).padStart(2, '0')}`;
}
