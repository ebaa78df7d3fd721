import type {Step} from '../state/types.js';
import {confirmPrefixWatch} from './confirm_prefix_watch.js';

/** Reads the documents again after VMs report again that were silent for long. */
export function confirmDocuments(step: Step): void {
  const {replicas, targets} = step.state;
  if (targets.minDocumentReadAtMs < replicas.confirmedAtMs) return;
  if (targets.minDocumentReadAtMs === -Infinity) return;
  confirmPrefixWatch(step, replicas.documentWatch);
}
