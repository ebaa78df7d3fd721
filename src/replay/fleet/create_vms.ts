import type {DomainId, VmId, ZoneId} from '../../core/ids/index.js';
import type {VmRecord} from '../../core/store/types.js';
import {makeId} from '../../core/ids/index.js';

interface VmsOptions {
  readonly domains: number;
  readonly vmsPerDomain: number;
  readonly fencingShare?: number;
}

const FIRST_PORT = 10_000;
const ACCELERATORS = 4;

/** Records of a fleet's VMs, domain after domain. */
export function createVms(options: VmsOptions): VmRecord[] {
  const {domains, vmsPerDomain, fencingShare = 0.5} = options;
  const records: VmRecord[] = [];
  for (let at = 0; at < domains * vmsPerDomain; at++) {
    const domain = Math.floor(at / vmsPerDomain);
    const fenced = Math.floor((at + 1) * fencingShare);
    records.push({
      vmId: makeId<VmId>(`vm-${String(at).padStart(3, '0')}`),
      kind: 'engine',
      state: 'live',
      zone: makeId<ZoneId>(`zone-${domain % 3}`),
      domain: makeId<DomainId>(`domain-${domain}`),
      address: `10.0.0.1:${FIRST_PORT + at}`,
      accelerators: ACCELERATORS,
      checksFencing: fenced > Math.floor(at * fencingShare),
    });
  }
  return records;
}
