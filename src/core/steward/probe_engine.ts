import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';

/** Pause between two probes of an engine that may be lost. */
const PROBE_AGAIN_MS = 400;

/** Asks an engine for a sign of life, unless it was asked a moment ago. */
export function probeEngine(
  step: ServingStep,
  engine: {readonly vmId: VmId; readonly address: string},
  againMs = PROBE_AGAIN_MS,
): void {
  const {probes} = step.state.steward;
  const {vmId, address} = engine;
  const probe = probes.get(vmId) ?? {
    sentAtMs: -Infinity,
    answeredAtMs: -Infinity,
    silentInRow: 0,
  };
  if (step.nowMs - probe.sentAtMs < againMs) return;
  probe.sentAtMs = step.nowMs;
  probes.set(vmId, probe);
  step.effects.push({type: 'probeEngine', vmId, address});
}
