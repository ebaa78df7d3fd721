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
  const current = state.targets.byId.get(targetId);
  const service = state.config.document.services.get(record.application);
  const configuredSlots =
    service?.kind === 'application' ? service.slotsPerEngine : undefined;
  const slots = configuredSlots ?? current?.slots ?? DEFAULT_SLOTS;
  if (current?.slots === slots && current.address === record.address) return;
  const target: Target = {
    targetId,
    kind: 'application',
    service: record.application,
    adapters: [],
    vms: [record.vmId],
    address: record.address,
    zone: record.zone,
    slots,
    running: current?.running ?? 0,
    queued: current?.queued ?? 0,
    tokensPerSecond: current?.tokensPerSecond ?? 0,
    reportedAtMs: current?.reportedAtMs ?? 0,
    bar: current ? current.bar : 'no-fresh-report',
    barChangedAtMs: current?.barChangedAtMs ?? nowMs,
  };
  addTarget(step, target, record.vmId);
}
