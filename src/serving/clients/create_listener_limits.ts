import type {ListenerLimits} from './types.js';

/** Machine of a node, as far as the limits depend on it. */
interface MachineLimits {
  readonly memoryBytes?: number;
  readonly maxDescriptors?: number;
}

const MB = 1_000_000;
/** The smallest machine that runs a node. */
const DEFAULT_MEMORY_BYTES = 202 * MB;
const DEFAULT_DESCRIPTORS = 2069;
/** Descriptors that the platform sets aside for files. */
const FILE_DESCRIPTORS = 200;
/** Part of the other descriptors that is kept for connections to engines, peers and the store. */
const OUTGOING_SHARE = 0.25;
/** Parts of the descriptors of the smaller listeners; callers get the rest. */
const SHARES = {
  ready: 0.04,
  directory: 0.1,
  documents: 0.04,
  metrics: 0.02,
  forwards: 0.1,
};
/** Besides, the process takes some 80 MB at rest, and V8 leaves up to 64 MB of dropped buffers before it collects them. */
const BODY_SHARE = 1 / 12;
const SMALL_BODY_SHARE = 1 / 24;
const UNREAD_SHARE = 1 / 12;
const IDLE_TIMEOUT_MS = 15_000;

/** Returns the limits for a machine, with those that the settings override. */
export function createListenerLimits(
  machine: MachineLimits = {},
  overrides: Partial<ListenerLimits> = {},
): ListenerLimits {
  const {
    memoryBytes = DEFAULT_MEMORY_BYTES,
    maxDescriptors = DEFAULT_DESCRIPTORS,
  } = machine;
  const usable = Math.max(maxDescriptors - FILE_DESCRIPTORS, 0);
  const shareOf = (part: number) => Math.max(1, Math.floor(usable * part));
  const parts = Object.values(SHARES).reduce((sum, part) => sum + part, 0);
  return {
    connections: {
      ready: shareOf(SHARES.ready),
      directory: shareOf(SHARES.directory),
      documents: shareOf(SHARES.documents),
      metrics: shareOf(SHARES.metrics),
      forwards: shareOf(SHARES.forwards),
      callers: shareOf(1 - OUTGOING_SHARE - parts),
    },
    pausedRequests: 4,
    maxRequests: 64,
    maxRequestsBehind: 1024,
    maxHeadBytes: 128 * 1024,
    bodyBytes: Math.floor(memoryBytes * BODY_SHARE),
    smallBodyBytes: Math.floor(memoryBytes * SMALL_BODY_SHARE),
    bodyStallMs: IDLE_TIMEOUT_MS,
    unreadMs: IDLE_TIMEOUT_MS,
    unreadBytes: Math.floor(memoryBytes * UNREAD_SHARE),
    pressureStallMs: 1000,
    ...overrides,
  };
}
