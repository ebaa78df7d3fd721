import type {EngineRecord} from '../../fleet/types.js';
import type {ServingStep} from '../types.js';
import {listProbeReports} from '../../steward/list_probe_reports.js';
import {requestPeerProbes} from '../../steward/request_peer_probes.js';

/** A requested peer that has not reported by then has stopped itself: longer than a probe's time-out and two digests. */
const REPORT_TIMEOUT_MS = 500;
/** Reports that suffice then, if as many peers were requested. */
const MIN_REPORTS = 3;

/**
 * Whether other nodes corroborate that an engine that refuses this node's
 * connections has ended: none reaches it, or has had anything from it since.
 * The requested peers are drawn at random, so that a cut which some nodes share
 * is told from an end by the others.
 */
export function isEndCorroborated(
  step: ServingStep,
  engine: EngineRecord,
  sinceMs: number,
): boolean {
  const {state, nowMs} = step;
  const {vmId} = engine;
  const progressAtMs = Math.max(
    state.targetLoads.get(vmId)?.progressAtMs ?? -Infinity,
    state.peerLoads.get(vmId)?.progressAtMs ?? -Infinity,
  );
  if (progressAtMs > sinceMs) return false;
  const peers = requestPeerProbes(step, engine);
  if (peers.length === 0) return isOnlyNode(step);
  const reports = listProbeReports(state, vmId);
  if (![...reports.values()].every(Boolean)) return false;
  if (peers.every(nodeId => reports.has(nodeId))) return true;
  const isLate = nowMs - sinceMs > REPORT_TIMEOUT_MS;
  return isLate && reports.size >= Math.min(MIN_REPORTS, peers.length);
}

/** A node that hears no others, although some are registered, may be the one that is cut off. */
function isOnlyNode({state}: ServingStep): boolean {
  const others = new Set(state.exchange.registeredNodes.keys());
  others.delete(state.nodeId);
  return others.size === 0;
}
