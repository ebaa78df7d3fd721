import type {ZoneId} from '../../ids/index.js';

/** The evacuated zones, as the store held them at one version. */
export interface EvacuationReading {
  /** Store version of the reading, with era and revision; the highest one is in force. */
  readonly storeVersion: number;
  readonly zones: readonly ZoneId[];
}

/** A node's view of the evacuations, in its digests. */
export interface EvacuationReport extends EvacuationReading {
  /** Zones of earlier readings that stay evacuated while a restored store settles. */
  readonly keptZones: readonly ZoneId[];
  /** Age of the proof that the reading is the newest; -1 for none. */
  readonly proofAgeMs: number;
}

/** Availability zones whose engines get no requests, as this node knows them. */
export interface EvacuationState {
  /** The deployment bounds the time of an evacuation; fixed at the start, since it decides what the node watches in the store. */
  readonly isEnabled: boolean;
  /** Version of the reading in force; undefined while the evacuations are unknown. */
  storeVersion?: number;
  zones: ReadonlySet<ZoneId>;
  /** Zones of earlier readings that stay evacuated while a restored store settles. */
  keptZones: ReadonlySet<ZoneId>;
  /** Last time at which a read of the store by this node proved the reading to be the newest. */
  readAtMs: number;
  /** The same for a read by this node or a peer. */
  provenAtMs: number;
  /** When this node learned that a zone was returned to service. */
  readonly returnedAtMsByZone: Map<ZoneId, number>;
  /** Pools that have targets in evacuated zones; set with the targets. */
  evacuatedPools: ReadonlySet<string>;
}
