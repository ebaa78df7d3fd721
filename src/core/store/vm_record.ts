import type {DomainId, ServiceName, VmId, ZoneId} from '../ids/index.js';

/** A VM in the platform's VM list, which lags behind the actual state. */
export interface VmRecord {
  readonly vmId: VmId;
  readonly kind: 'engine' | 'application';
  readonly state: 'live' | 'leaving';
  readonly zone: ZoneId;
  /** Fabric domain; engines only. */
  readonly domain?: DomainId;
  /** `host:port` of the engine or application service on this VM. */
  readonly address: string;
  readonly accelerators: number;
  /** Whether the engine refuses orders with an outdated fencing token. */
  readonly checksFencing: boolean;
  /** Service that runs on this VM; application VMs only. */
  readonly application?: ServiceName;
}
