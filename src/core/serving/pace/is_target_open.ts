import type {ServingState, ServingTarget} from '../types.js';
import {learnsPace} from './learns_pace.js';
import {noteTarget} from './note_target.js';
import {resolvePaceRank} from './resolve_pace_rank.js';

/** Time without evidence after which one request is allowed, so that no target stays idle for good. */
const PROBE_AFTER_MS = 1000;
/** Nodes probe one after the other: a digest tells the next one of the probe. */
const PROBE_STAGGER_MS = 100;
const MAX_STAGGER_MS = 1000;

/** Whether this node may send another request to a target, by what all nodes have learned of its pace. */
export function isTargetOpen(
  state: ServingState,
  target: ServingTarget,
  nowMs: number,
): boolean {
  const {vmId, engine} = target;
  if (!learnsPace(state, engine.service)) return true;
  noteTarget(state, target, nowMs);
  const record = state.pace.records.get(vmId);
  if (!record || record.hasRecovered) return true;
  const unstarted = state.targetLoads.get(vmId)?.unstartedCount ?? 0;
  const {rank, nodeCount} = resolvePaceRank(state, vmId, nowMs);
  const rest = record.window % nodeCount;
  const share = Math.floor(record.window / nodeCount) + (rank < rest ? 1 : 0);
  if (unstarted < share) return true;
  const inFlight =
    (state.targetLoads.get(vmId)?.inFlight ?? 0) +
    (state.peerLoads.get(vmId)?.inFlight ?? 0);
  const staggerMs = Math.min(MAX_STAGGER_MS, PROBE_STAGGER_MS * rank);
  const isProbeDue = nowMs - record.evidenceAtMs >= PROBE_AFTER_MS + staggerMs;
  return isProbeDue && inFlight === 0;
}
