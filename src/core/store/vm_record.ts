import type {DomainId, ServiceName, VmId, ZoneId} from '../ids/index.js';

/** A VM in the platform's lagging list. */
export interface VmRecord {
  readonly vmId: VmId;
  readonly kind: 'engine' | 'application';
  readonly state: 'live' | 'leaving';
  readonly zone: ZoneId;
  /** Engines only: the fabric domain. */
  readonly domain?: DomainId;
  /** `host:port` of the engine or the application service on it. */
  readonly address: string;
  readonly accelerators: number;
  /** Whether its engine refuses orders with an old fencing token. */
  readonly checksFencing: boolean;
  /** Application VMs only: the service that runs on it. */
  readonly application?: ServiceName;
}
