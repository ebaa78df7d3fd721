import type {OutageMeasures} from './outage_measures.js';
import type {OutagePlan} from './outage_plan.js';
import type {RatedStore} from './rated_store.js';
import type {SteadyCallers} from './steady_callers.js';
import type {VirtualWorld} from '../virtual_world.js';
import {makeId, type NodeId} from '../../core/ids/index.js';
import {readiness} from '../../core/membership/index.js';

/**
 * Time for a node to detect an outage, which takes two failed calls: lease
 * renewals make calls often enough for that.
 */
const DETECTION_MS = 15_000;
const RECOVERY_WINDOW_MS = 60_000;

/** Counts the outcomes of requests and the load on the store. */
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
      one.atMs >= downFromMs + DETECTION_MS &&
      one.atMs < downUntilMs,
  );
  const refused = unrepeatable.filter(one => one.verdict === 'not-run');
  const waits = refused.map(one => one.endedAtMs! - one.atMs);
  const lateNode = world.nodes.get(makeId<NodeId>(`n${plan.nodes}`))!;
  const downSeconds = (downUntilMs - downFromMs) / 1000;
  return {
    repeatableSent: repeatable.length,
    repeatableLost: repeatable.filter(one => one.verdict !== 'answered').length,
    unrepeatableSent: unrepeatable.length,
    unrepeatableRefusedNotRun: refused.length,
    unrepeatableOther: unrepeatable.length - refused.length,
    refusalMaxMs: round(Math.max(0, ...waits)),
    lateNodeReady: readiness(lateNode.state, world.time.nowMs).ready ? 1 : 0,
    callsPerSecondDown: round(
      rated.countCalls(downFromMs, downUntilMs) / downSeconds,
    ),
    peakCallsAtReturn: rated.peakCalls(
      downUntilMs,
      downUntilMs + RECOVERY_WINDOW_MS,
    ),
    longestStoreWaitMs: round(rated.longestWaitMs),
    leasesBackMs: round(leasesBackMs(world, downUntilMs)),
  };
}

/** Time in milliseconds from the return of the store to the last lease grant. */
function leasesBackMs(world: VirtualWorld, downUntilMs: number): number {
  const grants = [...world.nodes.values()].map(
    node => node.state.membership.leaseGrantedAtMs,
  );
  return Math.max(...grants) - downUntilMs;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
