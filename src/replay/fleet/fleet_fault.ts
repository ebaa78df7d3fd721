interface KillVm {
  readonly kind: 'kill';
  readonly vm: string;
  /** Comes back empty after this time; absent: never. */
  readonly forMs?: number;
}

interface FreezeVm {
  readonly kind: 'freeze';
  readonly vm: string;
  readonly forMs: number;
}

/** The platform takes a VM away, and brings another one in its domain. */
interface ReplaceVm {
  readonly kind: 'replace';
  readonly vm: string;
  readonly by: string;
  /** From the notice to the end of the VM. */
  readonly noticeMs: number;
  /** From the end to its successor. */
  readonly absentMs: number;
}

interface DarkenDomain {
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
  KillVm | FreezeVm | ReplaceVm | DarkenDomain | FreezeNode | Publish
);
