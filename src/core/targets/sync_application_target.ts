import type {Step} from '../state/types.js';
import type {Target} from './target.js';
import type {TargetId} from '../ids/index.js';
import type {VmRecord} from '../store/types.js';
import {addTarget} from './add_target.js';
import {makeId} from '../ids/index.js';

/** Used while the configuration has no entry for the service. */
const DEFAULT_SLOTS = 1;

/** Adds or updates the target of a listed application VM. */
export function syncApplicationTarget(step: Step, record: VmRecord): void {
  if (record.kind !== 'application' || !record.application) return;
  const {state, nowMs} = step;
  const targetId = makeId<TargetId>(`vm:${record.vmId}`);
  const known = state.targets.byId.get(targetId);
  const service = state.config.document.services.get(record.application);
  const stated =
    service?.kind === 'application' ? service.slotsPerEngine : undefined;
  const slots = stated ?? known?.slots ?? DEFAULT_SLOTS;
  if (known?.slots === slots && known.address === record.address) return;
  const target: Target = {
    targetId,
    kind: 'application',
    service: record.application,
    adapters: [],
    vms: [record.vmId],
    address: record.address,
    zone: record.zone,
    slots,
    running: known?.running ?? 0,
    queued: known?.queued ?? 0,
    tokensPerSecond: known?.tokensPerSecond ?? 0,
    reportedAtMs: known?.reportedAtMs ?? 0,
    bar: known ? known.bar : 'no-fresh-report',
    barChangedAtMs: known?.barChangedAtMs ?? nowMs,
  };
  addTarget(step, target, record.vmId);
}
