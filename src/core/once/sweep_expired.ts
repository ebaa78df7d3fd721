import type {Step} from '../state/types.js';
import {STORE_PRIORITY} from '../store/index.js';
import {callStore} from '../state/index.js';
import {livePeers} from '../membership/index.js';
import {ONCE_PAGE_SIZE} from './once_page_size.js';
import {oncePath} from './once_path.js';

const SWEEP_INTERVAL_MS = 60_000;

/** Lists one page of the ledger when it is due; only the live node with the lowest ID does so. */
export function sweepExpired(step: Step): void {
  const {sweep} = step.state.once;
  if (step.nowMs < sweep.nextAtMs) return;
  const isFirst = sweep.nextAtMs === 0;
  const jitter = isFirst ? step.state.random.next() : 1;
  sweep.nextAtMs = step.nowMs + SWEEP_INTERVAL_MS * jitter;
  if (isFirst || !isSweeper(step)) return;
  const {afterKey} = sweep;
  sweep.operationId = callStore(
    step,
    'once',
    {kind: 'list', prefix: oncePath(), afterKey, limit: ONCE_PAGE_SIZE},
    {priority: STORE_PRIORITY.audit},
  );
}

function isSweeper(step: Step): boolean {
  const {nodeId} = step.state.self;
  return livePeers(step.state, step.nowMs).every(peer => nodeId < peer.nodeId);
}
