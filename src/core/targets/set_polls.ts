import type {Step} from '../state/types.js';
import {TARGET_TIMING} from './target_timing.js';

/** Emits a `setPolls` effect if the set of VMs to poll, or an address, has changed. */
export function setPolls(step: Step): void {
  const {targets} = step.state;
  const polls = [...targets.health.values()]
    .filter(({absentSinceMs}) => {
      const absentMs = step.nowMs - (absentSinceMs ?? step.nowMs);
      return absentMs < TARGET_TIMING.departedPollMs;
    })
    .map(({record}) => ({vmId: record.vmId, address: record.address}));
  const key = polls.map(poll => `${poll.vmId}@${poll.address}`).join(' ');
  if (key === targets.pollKey) return;
  targets.pollKey = key;
  const intervalMs = TARGET_TIMING.pollIntervalMs;
  step.effects.push({type: 'setPolls', polls, intervalMs});
}
