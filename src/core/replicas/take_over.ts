import type {DomainDocument} from './domain_document.js';
import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import {writeDocument} from './write_document.js';

/** Writes a fencing token above all earlier ones to the document, after which earlier stewards cannot write it. */
export function takeOver(
  step: Step,
  stewardship: Stewardship,
  document: DomainDocument | undefined,
  version: number,
): void {
  const seen = Math.max(
    document?.fencingToken ?? 0,
    stewardship.fencingToken,
    highestReported(step, stewardship),
  );
  stewardship.phase = 'taking-over';
  stewardship.fencingToken = seen + 1;
  stewardship.version = version;
  writeDocument(step, stewardship, document?.replicas ?? []);
}

/** A restored store may lack tokens that engines have already received. */
function highestReported({state}: Step, {domain}: Stewardship): number {
  let highest = 0;
  for (const {report} of state.targets.reports.values()) {
    const record = state.targets.health.get(report.vmId)?.record;
    if (record?.domain !== domain) continue;
    highest = Math.max(highest, report.assignment?.fencingToken ?? 0);
  }
  return highest;
}
