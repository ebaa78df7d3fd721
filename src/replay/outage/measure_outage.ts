import type {OutageMeasures} from './outage_measures.js';
import type {OutagePlan} from './outage_plan.js';
import type {RatedStore} from './rated_store.js';
import type {SteadyCallers} from './steady_callers.js';
import type {VirtualWorld} from '../virtual_world.js';
import {makeId, type NodeId} from '../../core/ids/index.js';
import {readiness} from '../../core/membership/index.js';

/** Two failed calls tell a node of an outage; the lease's come this often. */
const NOTICE_MS = 15_000;
const RETURN_MS = 60_000;

/** Counts what became of the requests, and what the store was asked. */
export function measureOutage(
  world: VirtualWorld,
  plan: OutagePlan,
  rated: RatedStore,
  callers: SteadyCallers,
): OutageMeasures {
  const {downFromMs, downUntilMs} = plan;
  const all = [...callers.sent.values()];
  const repeatable = all.filter(one => !one.isUnrepeatable);
  const unrepeatable = all.filter(
    one =>
      one.isUnrepeatable &&
      one.atMs >= downFromMs + NOTICE_MS &&
      one.atMs < downUntilMs,
  );
  const refused = unrepeatable.filter(one => one.verdict === 'not-run');
  const waits = refused.map(one => one.endedAtMs! - one.atMs);
  const late = world.nodes.get(makeId<NodeId>(`n${plan.nodes}`))!;
  const downSeconds = (downUntilMs - downFromMs) / 1000;
  return {
    repeatableSent: repeatable.length,
    repeatableLost: repeatable.filter(one => one.verdict !== 'answered').length,
    unrepeatableSent: unrepeatable.length,
    unrepeatableRefusedNotRun: refused.length,
    unrepeatableOther: unrepeatable.length - refused.length,
    refusalMaxMs: round(Math.max(0, ...waits)),
    lateNodeReady: readiness(late.state, world.time.nowMs).ready ? 1 : 0,
    callsPerSecondDown: round(
      rated.countCalls(downFromMs, downUntilMs) / downSeconds,
    ),
    peakCallsAtReturn: rated.peakCalls(downUntilMs, downUntilMs + RETURN_MS),
    longestStoreWaitMs: round(rated.longestWaitMs),
    leasesBackMs: round(leasesBackMs(world, downUntilMs)),
  };
}

/** Leases are granted from the return on; the last grant ends the outage. */
function leasesBackMs(world: VirtualWorld, downUntilMs: number): number {
  const grants = [...world.nodes.values()].map(
    node => node.state.membership.leaseGrantedAtMs,
  );
  return Math.max(...grants) - downUntilMs;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
