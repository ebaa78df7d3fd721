import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import {applyVmList} from './apply_vm_list.js';
import {noteAttemptFailed} from './note_attempt_failed.js';
import {notePollFailed} from './note_poll_failed.js';
import {noteReport} from './note_report.js';
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
      return noteReport(step, event.report, event.ageMs);
    case 'targetReportFailed':
      return notePollFailed(step, event.vmId, event.refused ?? false);
    case 'attemptFailed':
      return noteAttemptFailed(step, event);
    default:
  }
}
