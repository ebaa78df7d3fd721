import type {EntriesAnswer} from './entries_answer.js';
import type {NodeState} from '../state/types.js';
import type {ZoneId} from '../ids/index.js';
import {hashText, livePeers, readiness} from '../membership/index.js';

const KEEP_MS = 10_000;
const MAX_ENTRIES = 8;
/** Entries reserved for other zones, for a caller whose zone fails while it caches the response. */
const MIN_OTHER_ZONES = 3;

interface EntriesQuery {
  readonly organisation?: string;
  readonly service?: string;
}

interface Candidate {
  readonly nodeId: string;
  readonly address: string;
  readonly zone: ZoneId;
  readonly load: number;
}

/**
 * Lists the nodes that a caller should use; leaves out draining and suspected
 * ones. The order is the same at every node for one organisation and service,
 * except that entries in the answering node's zone come first.
 */
export function resolveEntries(
  state: NodeState,
  query: EntriesQuery,
  nowMs: number,
): EntriesAnswer {
  const candidates = listCandidates(state, nowMs);
  const meanLoad =
    candidates.reduce((sum, one) => sum + one.load, 0) / candidates.length;
  const key = `${query.organisation ?? ''} ${query.service ?? ''} `;
  const ranked = candidates
    .map(one => ({...one, score: rank(key, one, meanLoad)}))
    .sort((a, b) => b.score - a.score);
  const own = ranked.filter(one => one.zone === state.self.zone);
  const others = ranked.filter(one => one.zone !== state.self.zone);
  const kept = own.slice(
    0,
    MAX_ENTRIES - Math.min(MIN_OTHER_ZONES, others.length),
  );
  return {
    entries: [...kept, ...others]
      .slice(0, MAX_ENTRIES)
      .map(({address, zone}) => ({address, zone})),
    keepMs: KEEP_MS,
    revision: state.config.document.revision,
  };
}

function listCandidates(state: NodeState, nowMs: number): Candidate[] {
  const candidates: Candidate[] = livePeers(state, nowMs)
    .filter(peer => peer.phase === 'serving')
    .map(({nodeId, callerAddress, zone, queued, running}) => ({
      nodeId,
      address: callerAddress,
      zone,
      load: queued + running,
    }));
  if (!readiness(state, nowMs).ready) return candidates;
  const {nodeId, callerAddress: address, zone} = state.self;
  const load = state.requests.byId.size;
  return [...candidates, {nodeId, address, zone, load}];
}

/** Weighted rendezvous hash: a node's share follows its weight, and the order of others is unaffected. */
function rank(key: string, candidate: Candidate, meanLoad: number): number {
  const weight = loadWeight(candidate.load, meanLoad);
  return -weight / Math.log(hashText(key + candidate.nodeId));
}

/** Weight of a node by its load; quantised so that small changes of load do not change the order. */
function loadWeight(load: number, meanLoad: number): number {
  if (load > 2 * meanLoad + 4) return 0.25;
  if (load > 1.25 * meanLoad + 4) return 0.5;
  return 1;
}
