import type {SelfState} from '../core/state/types.js';

interface PlatformSettings {
  /** `host:port` of the platform API. */
  readonly address: string;
  /** Calls per second that this node may make; a pending watch counts as one. */
  readonly maxCallsPerSecond: number;
  /** Calls per second that all nodes together may make, divided equally among them. */
  readonly fleetCallsPerSecond: number;
}

interface LimitSettings {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  /** Longest time to receive a complete request. */
  readonly requestTimeoutMs: number;
  /** Longest idle time of a keep-alive connection. */
  readonly idleTimeoutMs: number;
  /** Longest time without data from a target within a response. */
  readonly targetSilenceMs: number;
}

interface SecretSettings {
  readonly operatorTokenSha256: string;
  readonly peerSecret: string;
}

interface LogSettings {
  readonly level: 'debug' | 'info' | 'warn' | 'error';
}

interface RecordSettings {
  /**
   * File to which the node's events are recorded for `rhubarbstile replay`;
   * absent: not recorded.
   */
  readonly path?: string;
}

/** The validated settings of a node. */
export interface Settings {
  readonly node: Omit<SelfState, 'incarnation'>;
  readonly platform: PlatformSettings;
  readonly limits: LimitSettings;
  readonly secrets: SecretSettings;
  readonly log: LogSettings;
  readonly record: RecordSettings;
}
