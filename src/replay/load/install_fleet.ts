import {createHash} from 'node:crypto';
import type {
  Incarnation,
  NodeId,
  OrganisationId,
  ServiceName,
  TargetId,
  VmId,
  ZoneId,
} from '../../core/ids/index.js';
import type {ConfigDocument, ServiceConfig} from '../../core/config/types.js';
import type {LoadFleet} from './load_fleet.js';
import type {NodeState} from '../../core/state/types.js';
import type {Target} from '../../core/targets/types.js';
import {createPeer} from '../create_peer.js';
import {makeId} from '../../core/ids/index.js';

const ZONES = 3;
const SERVICE_TIMEOUT_MS = 600_000;
const MAX_QUEUE = 200;
const NO_LIMIT = 1_000_000;

/**
 * Sets the configuration, targets and peers in a node state directly, without
 * the exchange that normally provides them.
 */
export function installFleet(state: NodeState, fleet: LoadFleet): void {
  state.config.document = createDocument(fleet);
  for (const service of fleet.services) {
    for (let at = 0; at < service.engines; at++) {
      installTarget(state, createTarget(service, at));
    }
  }
  for (let at = 0; at < fleet.nodes; at++) {
    installPeer(state, at);
  }
}

function installTarget(state: NodeState, target: Target): void {
  const {byId, byService} = state.targets;
  byId.set(target.targetId, target);
  const ids = byService.get(target.service) ?? new Set();
  byService.set(target.service, ids.add(target.targetId));
}

function installPeer(state: NodeState, at: number): void {
  const nodeId = makeId<NodeId>(`node-${at}`);
  if (nodeId === state.self.nodeId) return;
  const peer = createPeer({
    nodeId,
    incarnation: makeId<Incarnation>(`${nodeId}/0`),
    zone: makeId<ZoneId>(`zone-${at % ZONES}`),
    callerAddress: `${nodeId}:1`,
    controlAddress: `${nodeId}:2`,
    sequence: 0,
  });
  state.membership.peers.set(nodeId, peer);
}

function createTarget(
  service: LoadFleet['services'][number],
  at: number,
): Target {
  const targetId = makeId<TargetId>(`${service.name}-${at}`);
  return {
    targetId,
    kind: service.kind,
    service: makeId<ServiceName>(service.name),
    ...(service.kind === 'model' ? {model: 'base', version: '1'} : {}),
    adapters: [],
    vms: [makeId<VmId>(targetId)],
    address: `${targetId}:1`,
    zone: makeId<ZoneId>(`zone-${at % ZONES}`),
    slots: service.engine.slots,
    running: 0,
    queued: 0,
    tokensPerSecond: 0,
    reportedAtMs: 0,
    barChangedAtMs: 0,
  };
}

function createDocument(fleet: LoadFleet): ConfigDocument {
  const names = fleet.organisations.map(one =>
    makeId<OrganisationId>(one.name),
  );
  const services = fleet.services.map(one => createService(one, names));
  return {
    revision: 1,
    services: new Map(services.map(one => [one.name, one])),
    organisations: new Map(
      fleet.organisations.map(one => [
        one.name,
        {
          name: makeId<OrganisationId>(one.name),
          tokenSha256: [createHash('sha256').update(one.name).digest('hex')],
          weight: one.weight,
          maxRequestsPerSecond: NO_LIMIT,
          maxInFlight: NO_LIMIT,
        },
      ]),
    ),
  };
}

function createService(
  service: LoadFleet['services'][number],
  organisations: readonly OrganisationId[],
): ServiceConfig {
  const common = {
    name: makeId<ServiceName>(service.name),
    organisations,
    unrepeatable: false,
    timeoutMs: SERVICE_TIMEOUT_MS,
    onceRetentionMs: SERVICE_TIMEOUT_MS,
    maxQueue: MAX_QUEUE,
    priority: 0,
  };
  const slots = service.engine.slots;
  if (service.kind === 'application') {
    return {...common, kind: 'application', slotsPerEngine: slots};
  }
  return {
    ...common,
    kind: 'model',
    model: 'base',
    version: '1',
    adapters: [],
    replicas: service.engines,
    vmsPerReplica: 1,
    slotsPerReplica: slots,
    minServing: 0,
  };
}
