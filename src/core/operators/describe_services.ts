import type {NodeState} from '../state/types.js';
import type {ServiceConfig} from '../config/types.js';
import type {ServicesAnswer} from './services_answer.js';

type ServiceStatus = ServicesAnswer['services'][number];

interface Load {
  running: number;
  queued: number;
}

/** Describes every service, its targets and its load on this node. */
export function describeServices(state: NodeState): ServicesAnswer {
  const {document} = state.config;
  const loads = countLoads(state);
  const services = [...document.services.values()]
    .map(service => describeService(state, service, loads.get(service.name)))
    .sort((a, b) => (a.name < b.name ? -1 : 1));
  return {revision: document.revision, services};
}

function describeService(
  state: NodeState,
  service: ServiceConfig,
  load: Load = {running: 0, queued: 0},
): ServiceStatus {
  const ids = state.targets.byService.get(service.name) ?? new Set();
  const targetsBarred: Record<string, number> = {};
  let targetsServing = 0;
  let slots = 0;
  for (const id of ids) {
    const target = state.targets.byId.get(id);
    if (!target) continue;
    if (target.bar) {
      targetsBarred[target.bar] = (targetsBarred[target.bar] ?? 0) + 1;
    } else {
      targetsServing += 1;
      slots += target.slots;
    }
  }
  return {
    name: service.name,
    kind: service.kind,
    ...(service.kind === 'model' && {
      version: service.version,
      replicasWanted: service.replicas,
    }),
    organisations: service.organisations,
    unrepeatable: service.unrepeatable,
    targetsServing,
    targetsBarred,
    slots,
    ...load,
  };
}

function countLoads(state: NodeState): Map<string, Load> {
  const loads = new Map<string, Load>();
  for (const {info, phase} of state.requests.byId.values()) {
    const load = loads.get(info.service) ?? {running: 0, queued: 0};
    if (phase === 'running') load.running += 1;
    else load.queued += 1;
    loads.set(info.service, load);
  }
  return loads;
}
