import type {EngineAssignment} from '../targets/types.js';
import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import type {VmId} from '../ids/index.js';
import {createAssignment} from './create_assignment.js';
import {isDrained} from './is_drained.js';
import {hasFreshReport} from '../targets/index.js';

/** Chooses the next order for a VM: an assignment, 'release', or none. */
export function nextOrder(
  step: Step,
  stewardship: Stewardship,
  vmId: VmId,
): EngineAssignment | 'release' | undefined {
  const {targets} = step.state;
  if (!hasFreshReport(targets, vmId, step.nowMs)) return undefined;
  const {assignment} = targets.reports.get(vmId)!.report;
  const entry = stewardship.document!.replicas.find(one =>
    one.vms.includes(vmId),
  );
  if (!entry) return assignment && 'release';
  switch (entry.state) {
    case 'planned':
      return undefined;
    case 'loading':
    case 'serving': {
      const wanted = createAssignment(entry);
      return isSame(assignment, wanted) ? undefined : wanted;
    }
    case 'draining':
      if (assignment === undefined) return undefined;
      return isDrained(step, stewardship, entry) ? 'release' : undefined;
  }
}

function isSame(a: EngineAssignment | undefined, b: EngineAssignment): boolean {
  const keys = Object.keys(b) as (keyof EngineAssignment)[];
  return (
    a !== undefined &&
    keys.every(key => JSON.stringify(a[key]) === JSON.stringify(b[key]))
  );
}
