import type {NodeId, OperationId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {CONFIG_TIMING} from './config_timing.js';
import {nextId} from '../state/index.js';

/** Peers that may lack the history before the complete configuration is requested. */
const MAX_WITHOUT_HISTORY = 2;

/**
 * Sends a pull request to a random peer that is ahead, preferring those not
 * known to lack the history.
 */
export function pullFrom(
  step: Step,
  ahead: readonly NodeId[],
  withoutHistory: Set<NodeId>,
): void {
  const {state} = step;
  const untried = ahead.filter(id => !withoutHistory.has(id));
  const isComplete =
    withoutHistory.size >= MAX_WITHOUT_HISTORY || !untried.length;
  const candidates = isComplete ? ahead : untried;
  const to = candidates[state.random.nextInt(candidates.length)]!;
  const sinceRevision = isComplete ? 0 : state.config.document.revision;
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
