import type {StatusAnswer} from '../../core/operators/types.js';
import {setTimeout as sleep} from 'node:timers/promises';
import {callNode} from '../client/index.js';

const POLL_MS = 250;

interface RevisionSpread {
  /** Live nodes that have the revision, or a later one. */
  readonly reached: readonly string[];
  /** Live nodes that do not have the revision yet. */
  readonly waiting: readonly string[];
}

/** Polls the status until every live node has a revision, or until the time-out. */
export async function waitForRevision(
  options: Parameters<typeof callNode>[0],
  revision: number,
  timeoutMs: number,
): Promise<RevisionSpread> {
  const endsAtMs = Date.now() + timeoutMs;
  for (;;) {
    const status = await callNode<StatusAnswer>(options, {kind: 'status'});
    const live = status.nodes.filter(node => node.live);
    const reached = live.filter(node => node.configRevision >= revision);
    const waiting = live.filter(node => node.configRevision < revision);
    if (waiting.length === 0 || Date.now() >= endsAtMs) {
      return {
        reached: reached.map(node => node.nodeId),
        waiting: waiting.map(node => node.nodeId),
      };
    }
    await sleep(POLL_MS);
  }
}
