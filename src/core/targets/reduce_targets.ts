import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import {applyVmList} from './apply_vm_list.js';
import {applyAttemptFailure} from './apply_attempt_failure.js';
import {applyPollFailure} from './apply_poll_failure.js';
import {applyEngineReport} from './apply_engine_report.js';
import {readVmList} from './read_vm_list.js';
import {sweepTargets} from './sweep_targets.js';

/** Part of the reducer that maintains the target registry: VM lists, reports and bars. */
export function reduceTargets(step: Step, event: NodeEvent): void {
  sweepTargets(step);
  switch (event.type) {
    case 'tick':
      return readVmList(step);
    case 'storeResult': {
      const {list} = step.state.targets;
      if (event.area !== 'targets') return;
      if (event.operationId !== list.operationId) return;
      delete list.operationId;
      const {outcome} = event;
      if (outcome.kind === 'ok') applyVmList(step, outcome.vms ?? []);
      return;
    }
    case 'targetReported':
      return applyEngineReport(step, event.report, event.ageMs);
    case 'targetReportFailed':
      return applyPollFailure(step, event.vmId, event.refused ?? false);
    case 'attemptFailed':
      return applyAttemptFailure(step, event);
    default:
  }
}
