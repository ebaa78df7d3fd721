import type {OrganisationId, ServiceName} from '../ids/index.js';
import type {EngineCosts} from '../fleet/types.js';

/**
 * Which requests may be retried: `safe` always, `unsafe` never, `streaming` only
 * by resuming after the events that the caller has already received.
 */
export type RouteKind = 'safe' | 'unsafe' | 'streaming';

/** Weighted share of a route's requests for one service. */
export interface RouteShare {
  readonly service: ServiceName;
  readonly weight: number;
}

/** Handling of the requests with a given host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** A stream can be resumed at another target after the last event that the caller has received. */
  readonly isResumable: boolean;
  /** Requests need no API key. */
  readonly isAnonymous: boolean;
  /** Upper bound on the time-out of a request. */
  readonly timeoutMs: number;
  /** Latency goal of the first event, from the time at which the caller first sent the request. */
  readonly goalMs: number;
  /** Longest gap between events of a response that still counts as on time; undefined: any gap does. */
  readonly gapGoalMs?: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Limit on the attempts in which a request may have run. */
  readonly maxAttempts: number;
  readonly shares: readonly RouteShare[];
}

/** A caller, identified by an API key. */
export interface Organisation {
  readonly organisationId: OrganisationId;
  /** Takes precedence over the priority of the route. */
  readonly priority?: number;
  /** Its part of a pool that is short of capacity, relative to other organisations; 1 by default. */
  readonly weight?: number;
}

/** A service that routes can select. */
export interface ServiceSpec {
  readonly name: ServiceName;
  /** Present for model services. */
  readonly engine?: EngineCosts;
  /** How long an engine is cold after a start under load; undefined: never. */
  readonly coldMs?: number;
  /** Requests per second that a cold engine tolerates from all nodes together. */
  readonly coldRequestsPerS?: number;
  /** Targets that open or come back start slowly. */
  readonly learnsPace?: boolean;
}

/** Limits on requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time limit for receiving the headers of a request. */
  readonly headerTimeoutMs: number;
  /** Idle connections are closed after this time. */
  readonly idleTimeoutMs: number;
}

/** A complete configuration that an operator has activated. */
export interface AccessConfig {
  readonly version: number;
  /** Routes by host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly services: ReadonlyMap<ServiceName, ServiceSpec>;
  /** Organisations by API key; undefined if callers need no key. */
  readonly organisationsByKey?: ReadonlyMap<string, Organisation>;
  readonly limits: CallerLimits;
  /** Fields that are not understood and replaced by safe values. */
  readonly warnings?: readonly string[];
}
