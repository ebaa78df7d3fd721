import {createHash} from 'node:crypto';
import type {
  OrganisationId,
  ServiceName,
  TargetId,
  VmId,
  ZoneId,
} from '../../src/core/ids/index.js';
import type {NodeState} from '../../src/core/state/types.js';
import type {
  OrganisationConfig,
  ServiceConfig,
} from '../../src/core/config/types.js';
import type {Target} from '../../src/core/targets/types.js';

export const TOKEN = 'token-of-the-shop';
export const TOKEN_SHA256 = createHash('sha256').update(TOKEN).digest('hex');
const SHOP = 'shop' as OrganisationId;

const COMMON = {
  organisations: [SHOP],
  timeoutMs: 2000,
  onceRetentionMs: 600_000,
  maxQueue: 100,
  priority: 0,
};

/** Services of tests: `chat` (model), `stock` (repeatable) and `orders` (unrepeatable). */
export const SERVICES: readonly ServiceConfig[] = [
  {
    ...COMMON,
    name: 'chat' as ServiceName,
    unrepeatable: false,
    kind: 'model',
    model: 'm',
    version: '1',
    adapters: [],
    replicas: 2,
    vmsPerReplica: 1,
    slotsPerReplica: 8,
    minServing: 1,
  },
  {
    ...COMMON,
    name: 'stock' as ServiceName,
    unrepeatable: false,
    kind: 'application',
    slotsPerEngine: 8,
  },
  {
    ...COMMON,
    name: 'orders' as ServiceName,
    unrepeatable: true,
    kind: 'application',
    slotsPerEngine: 8,
  },
];

const ORGANISATION: OrganisationConfig = {
  name: SHOP,
  tokenSha256: [TOKEN_SHA256],
  weight: 1,
  maxRequestsPerSecond: 1_000_000,
  maxInFlight: 10_000,
};

/** Sets a configuration with the test services and one organisation. */
export function seedConfig(state: NodeState, timeoutMs = 2000): void {
  const services = SERVICES.map(s => [s.name, {...s, timeoutMs}] as const);
  state.config.document = {
    revision: 1,
    services: new Map(services),
    organisations: new Map([[SHOP, ORGANISATION]]),
  };
}

/** Adds a target that accepts requests. */
export function seedTarget(
  state: NodeState,
  service: string,
  id: string,
  {address = `${id}:1`, slots = 8}: {address?: string; slots?: number} = {},
): TargetId {
  const targetId = id as TargetId;
  const name = service as ServiceName;
  const target: Target = {
    targetId,
    kind: service === 'chat' ? 'model' : 'application',
    service: name,
    ...(service === 'chat' ? {model: 'm', version: '1'} : {}),
    adapters: [],
    vms: [`vm-${id}` as VmId],
    address,
    zone: 'a' as ZoneId,
    slots,
    running: 0,
    queued: 0,
    tokensPerSecond: 100,
    reportedAtMs: 0,
    barChangedAtMs: 0,
  };
  const {byId, byService} = state.targets;
  byId.set(targetId, target);
  byService.set(name, (byService.get(name) ?? new Set()).add(targetId));
  return targetId;
}
