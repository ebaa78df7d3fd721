import type {DomainId, VmId, ZoneId} from '../../core/ids/index.js';
import type {VmRecord} from '../../core/store/types.js';
import {makeId} from '../../core/ids/index.js';

interface VmsOptions {
  readonly domains: number;
  readonly vmsPerDomain: number;
  /** Share of engines that check fencing tokens, spread evenly over the VMs. */
  readonly fencingShare?: number;
}

const FIRST_PORT = 10_000;
const ACCELERATORS = 4;

/** Creates the VM records of a fleet, ordered by domain. */
export function createVms(options: VmsOptions): VmRecord[] {
  const {domains, vmsPerDomain, fencingShare = 0.5} = options;
  const records: VmRecord[] = [];
  for (let index = 0; index < domains * vmsPerDomain; index++) {
    const domain = Math.floor(index / vmsPerDomain);
    const fencedAfter = Math.floor((index + 1) * fencingShare);
    records.push({
      vmId: makeId<VmId>(`vm-${String(index).padStart(3, '0')}`),
      kind: 'engine',
      state: 'live',
      zone: makeId<ZoneId>(`zone-${domain % 3}`),
      domain: makeId<DomainId>(`domain-${domain}`),
      address: `10.0.0.1:${FIRST_PORT + index}`,
      accelerators: ACCELERATORS,
      checksFencing: fencedAfter > Math.floor(index * fencingShare),
    });
  }
  return records;
}
