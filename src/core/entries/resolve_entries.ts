import type {EntriesAnswer} from './entries_answer.js';
import type {NodeState} from '../state/types.js';
import {livePeers} from '../membership/index.js';

const KEEP_MS = 10_000;

interface EntriesQuery {
  readonly organisation?: string;
  readonly service?: string;
}

/** Lists the nodes that a caller should use; leaves out draining and suspected ones. */
export function resolveEntries(
  state: NodeState,
  _query: EntriesQuery,
  nowMs: number,
): EntriesAnswer {
  const {self} = state;
  const peers = livePeers(state, nowMs).filter(p => p.phase === 'serving');
  const entries = peers.map(p => ({address: p.callerAddress, zone: p.zone}));
  if (!state.drain.draining) {
    entries.unshift({address: self.callerAddress, zone: self.zone});
  }
  return {
    entries,
    keepMs: KEEP_MS,
    revision: state.config.document.revision,
  };
}
