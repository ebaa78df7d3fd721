import type {SelfState} from '../core/state/types.js';

interface PlatformSettings {
  /** `host:port` of the platform's service. */
  readonly address: string;
  /** Calls a second that this node may make; a waiting watch counts as one. */
  readonly maxCallsPerSecond: number;
  /** Calls a second that all nodes together may make; each takes an equal share. */
  readonly fleetCallsPerSecond: number;
}

interface LimitSettings {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  /** Longest time for a whole request to arrive. */
  readonly requestTimeoutMs: number;
  /** Longest silence of a kept-alive connection. */
  readonly idleTimeoutMs: number;
  /** Longest silence of a target within an answer. */
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
  /** File that takes the node's events for `rhubarbstile replay`; absent: none. */
  readonly path?: string;
}

/** A node's settings file, checked. */
export interface Settings {
  readonly node: Omit<SelfState, 'incarnation'>;
  readonly platform: PlatformSettings;
  readonly limits: LimitSettings;
  readonly secrets: SecretSettings;
  readonly log: LogSettings;
  readonly record: RecordSettings;
}
