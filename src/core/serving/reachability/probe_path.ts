import type {ServiceName} from '../../ids/index.js';
import type {ServicePath} from './types.js';
import type {ServingStep} from '../types.js';
import {listUnreachableServices} from './list_unreachable_services.js';
import {selectWitness} from './select_witness.js';

/** Probes in flight at most; one answer is enough. */
const MAX_PROBES = 2;

/** Probes engines to find out whether the path is at fault or the unreachable engines are. One failure brings one probe, further evidence more. */
export function probePath(
  step: ServingStep,
  service: ServiceName,
  path: ServicePath,
): void {
  const isOtherDown = listUnreachableServices(step.state).length > 0;
  const count = path.unreachable.size > 1 || isOtherDown ? MAX_PROBES : 1;
  while (path.probes.size < count) {
    const engine = selectWitness(step, service, path);
    if (!engine) return;
    const {vmId, address} = engine;
    path.probes.set(vmId, step.nowMs);
    path.probedAtMs = step.nowMs;
    step.effects.push({type: 'probeEngine', vmId, address});
  }
}
