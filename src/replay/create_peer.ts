import type {Peer} from '../core/membership/types.js';
import {makeId, type NodeId} from '../core/ids/index.js';

/**
 * Creates a serving peer whose last heartbeat never becomes stale; `fields`
 * override the defaults.
 */
export function createPeer(fields: Partial<Peer> = {}): Peer {
  const nodeId = fields.nodeId ?? makeId<NodeId>('peer');
  return {
    nodeId,
    incarnation: makeId(`${nodeId}/1`),
    startedAtMs: 0,
    zone: makeId('a'),
    callerAddress: '',
    controlAddress: '',
    phase: 'serving',
    configRevision: 1,
    queued: 0,
    running: 0,
    sequence: Number.MAX_SAFE_INTEGER,
    lastSeenAtMs: Number.MAX_SAFE_INTEGER,
    lastAcknowledgedAtMs: Number.MAX_SAFE_INTEGER,
    isNotReceiving: false,
    ...fields,
  };
}
