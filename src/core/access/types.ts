import type {OrganisationId, ServiceName} from '../ids/index.js';
import type {EngineCosts} from '../fleet/types.js';

/**
 * What may be repeated: `safe` any time, `unsafe` never, `streaming` only by
 * resuming after the events that the caller already has.
 */
export type RouteKind = 'safe' | 'unsafe' | 'streaming';

/** Part of a route's requests that goes to a service. */
export interface RouteShare {
  readonly service: ServiceName;
  readonly weight: number;
}

/** Requests that are handled alike, selected by host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  readonly isAnonymous: boolean;
  readonly timeoutMs: number;
  readonly goalMs: number;
  /** Longest pause between events of an answer that is on time. */
  readonly gapGoalMs?: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly maxAttempts: number;
  readonly shares: readonly RouteShare[];
}

/** Who calls, known by an API key. */
export interface Organisation {
  readonly organisationId: OrganisationId;
  /** Goes before the priority of the route. */
  readonly priority?: number;
}

/** A service that routes lead to. */
export interface ServiceSpec {
  readonly name: ServiceName;
  /** Present for model services. */
  readonly engine?: EngineCosts;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A whole configuration that an operator put in force. */
export interface AccessConfig {
  readonly version: number;
  /** Routes by host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly services: ReadonlyMap<ServiceName, ServiceSpec>;
  /** Organisations by API key; undefined where callers need no key. */
  readonly organisationsByKey?: ReadonlyMap<string, Organisation>;
  readonly limits: CallerLimits;
}
