import type {ReplicaEntry} from './replica_entry.js';
import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import {advanceEntry} from './advance_entry.js';
import {applyAction} from './apply_action.js';
import {resolveSpares} from './resolve_spares.js';
import {recordAudit} from '../audit/index.js';

/** Returns the domain's replicas after planned steps and engine reports; undefined when nothing changes. */
export function advanceDocument(
  step: Step,
  stewardship: Stewardship,
): ReplicaEntry[] | undefined {
  const {replicas: before, spares} = stewardship.document!;
  const planned = applyPlan(step, stewardship, before);
  const after = planned.flatMap(entry => {
    const next = advanceEntry(step, stewardship, entry);
    return next ? [next] : [];
  });
  const isSame =
    after.length === before.length &&
    after.every((entry, index) => entry === before[index]);
  if (!isSame) return after;
  const next = resolveSpares(step, stewardship.domain, after, spares);
  return next.join(' ') === spares.join(' ') ? undefined : after;
}

function applyPlan(
  step: Step,
  stewardship: Stewardship,
  before: readonly ReplicaEntry[],
): readonly ReplicaEntry[] {
  const {replicas} = step.state;
  let entries = before;
  const remaining = [];
  for (const action of replicas.actions) {
    if (action.domain !== stewardship.domain) {
      remaining.push(action);
      continue;
    }
    const next = applyAction(step, stewardship, entries, action);
    if (!next) continue;
    entries = next;
    recordAudit(step, {
      who: 'system',
      action: 'replica',
      subject: action.kind === 'create' ? action.service : action.replicaId,
      after: JSON.stringify(action),
    });
  }
  replicas.actions = remaining;
  return entries;
}
