import type {NodeId, OperationId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {CONFIG_TIMING} from './config_timing.js';
import {nextId} from '../state/index.js';

/** Peers without the history that are asked before the whole configuration is. */
const MAX_WITHOUT_HISTORY = 2;

/** Asks one of the peers that are ahead; those without the history are known. */
export function pullFrom(
  step: Step,
  ahead: readonly NodeId[],
  withoutHistory: Set<NodeId>,
): void {
  const {state} = step;
  const unasked = ahead.filter(id => !withoutHistory.has(id));
  const isWhole = withoutHistory.size >= MAX_WITHOUT_HISTORY || !unasked.length;
  const candidates = isWhole ? ahead : unasked;
  const to = candidates[state.random.nextInt(candidates.length)]!;
  const sinceRevision = isWhole ? 0 : state.config.document.revision;
  const callId = nextId<OperationId>(step, 'pull');
  state.config.pull = {withoutHistory, callId};
  state.config.calls.set(callId, {purpose: 'pull', sinceRevision});
  step.effects.push({
    type: 'peerAsk',
    area: 'config',
    to,
    callId,
    timeoutMs: CONFIG_TIMING.pullTimeoutMs,
    message: {type: 'config.pull', sinceRevision},
  });
}
