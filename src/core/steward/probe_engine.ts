import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';

/** Default interval between probes of an engine that may be lost. */
const PROBE_INTERVAL_MS = 400;

/** Probes an engine, unless it was probed within the last `intervalMs`. */
export function probeEngine(
  step: ServingStep,
  engine: {readonly vmId: VmId; readonly address: string},
  intervalMs = PROBE_INTERVAL_MS,
): void {
  const {probes} = step.state.steward;
  const {vmId, address} = engine;
  const probe = probes.get(vmId) ?? {
    sentAtMs: -Infinity,
    answeredAtMs: -Infinity,
    unansweredCount: 0,
  };
  if (step.nowMs - probe.sentAtMs < intervalMs) return;
  probe.sentAtMs = step.nowMs;
  probes.set(vmId, probe);
  step.effects.push({type: 'probeEngine', vmId, address});
}
