import type {PlanAction} from './plan/types.js';
import type {Step} from '../state/types.js';
import {DeficitPlanner, FirstComePlanner} from './plan/index.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {recordShortages} from './record_shortages.js';
import {queueLoads} from './queue_loads.js';
import {buildPlanView} from './build_plan_view.js';

const PLANNERS = {
  'deficit-first': new DeficitPlanner(),
  'first-come': new FirstComePlanner(),
} as const;

/** Plans at intervals and keeps the steps that consecutive plans have contained for long enough. */
export function planSteps(step: Step): void {
  const {replicas} = step.state;
  if (step.nowMs - replicas.plannedAtMs < STEWARD_TIMING.planMs) return;
  replicas.plannedAtMs = step.nowMs;
  const view = buildPlanView(step.state, step.nowMs);
  recordShortages(step, view);
  queueLoads(step, view);
  const actions = PLANNERS[replicas.planner].plan(view);
  const wantedSinceMs = new Map<string, number>();
  for (const action of actions) {
    const key = resolveKey(action);
    wantedSinceMs.set(key, replicas.wantedSinceMs.get(key) ?? step.nowMs);
  }
  replicas.wantedSinceMs = wantedSinceMs;
  replicas.actions = actions.filter(action => {
    const sinceMs = wantedSinceMs.get(resolveKey(action))!;
    return step.nowMs - sinceMs >= resolveSettleMs(action);
  });
}

function resolveKey(action: PlanAction): string {
  if (action.kind === 'create') {
    return `create ${action.service} ${action.vms.join(' ')}`;
  }
  const reason = action.kind === 'drain' ? action.reason : '';
  return `${action.kind} ${action.replicaId} ${reason}`;
}

function resolveSettleMs(action: PlanAction): number {
  const isSurplus = action.kind === 'drain' && action.reason === 'surplus';
  return isSurplus ? STEWARD_TIMING.surplusMs : STEWARD_TIMING.settleMs;
}
