interface KillVm {
  readonly kind: 'kill';
  readonly vm: string;
  /** Time until the VM restarts without an assignment; absent: it does not restart. */
  readonly forMs?: number;
}

interface FreezeVm {
  readonly kind: 'freeze';
  readonly vm: string;
  readonly forMs: number;
}

/** The platform removes a VM and adds another one in its domain. */
interface ReplaceVm {
  readonly kind: 'replace';
  readonly vm: string;
  readonly by: string;
  /** Time from the notice to the removal of the VM. */
  readonly noticeMs: number;
  /** Time from the removal to the start of its successor. */
  readonly absentMs: number;
}

interface DomainOutage {
  readonly kind: 'dark';
  readonly domain: string;
  readonly forMs: number;
}

interface FreezeNode {
  readonly kind: 'freeze-node';
  readonly node: number;
  readonly forMs: number;
}

/** Changes a service file. */
interface Publish {
  readonly kind: 'publish';
  readonly service: string;
  readonly change: {
    readonly version?: string;
    readonly replicas?: number;
    readonly adapters?: readonly string[];
  };
}

/** One line of a fleet trace. */
export type FleetFault = {readonly atMs: number} & (
  KillVm | FreezeVm | ReplaceVm | DomainOutage | FreezeNode | Publish
);
