import type {
  Fingerprint,
  PromptPartId,
  RequestId,
  VmId,
} from '../../ids/index.js';

/** What several requests that crash their targets may have in common: their whole content, or one part of their prompts. */
export type CrashMarker = Fingerprint | PromptPartId;

/** A request that was running at a target when the connection broke. */
export interface BrokenRun {
  readonly requestId: RequestId;
  readonly callerId: string;
  readonly sharedPartIds: readonly PromptPartId[];
  /** The first event had arrived. */
  readonly hasStarted: boolean;
  /** Time since the request was sent to the target. */
  readonly ranMs: number;
}

/** A target whose connection broke, while a probe checks whether its process has ended. */
export interface CrashCheck {
  /** Identifies the incarnation of the target whose connection broke. */
  readonly bornAtMs: number;
  readonly atMs: number;
  readonly pool: string;
  /** Requests whose connections to the target broke. */
  readonly runs: Map<Fingerprint, BrokenRun>;
}

/** The crash of one engine process, with the requests of all nodes that were running there. */
export interface CrashReport {
  readonly vmId: VmId;
  readonly bornAtMs: number;
  /** Pool of the requests that were running there. */
  readonly pool: string;
  readonly atMs: number;
  /** When this node last learned of the crash or of another run. */
  updatedAtMs: number;
  /** Shared parts of the prompt of each run; empty for a run that had begun to answer, since its prompt did not crash the engine. */
  readonly runs: Map<Fingerprint, readonly PromptPartId[]>;
  /** Runs of this node in the pool that had survived when it learned of the crash. */
  readonly survivedBefore: number;
}

/** A crash report in a digest. */
export interface CrashReportEntry {
  readonly vmId: VmId;
  readonly bornAtMs: number;
  readonly pool: string;
  readonly ageMs: number;
  readonly runs: readonly {
    readonly fingerprint: Fingerprint;
    readonly sharedPartIds: readonly PromptPartId[];
  }[];
}

/** The crashes that a part was in since a run with it last survived. */
export interface PartLosses {
  /** Place of the part in the prompt. */
  depth: number;
  /** Oldest first. */
  readonly reports: CrashReport[];
  readonly fingerprints: Set<Fingerprint>;
}

/** A request or prompt part that is suspected of crashing its targets. */
export interface CrashSuspect {
  readonly kind: 'request' | 'part';
  readonly losses: number;
  readonly lastLossAtMs: number;
  /** Requests are refused until then; after that they are sent one at a time, as a trial. */
  readonly untilMs: number;
  /** This node's reports show it now; otherwise it is known from a peer, or from earlier. */
  readonly isDerived: boolean;
}

/** Why a request must not be sent to a target now. */
export interface CrashSuspicion {
  readonly marker: CrashMarker;
  /** Time until it is worth sending the request again. */
  readonly retryAfterMs: number;
}

/** A suspect in a digest. */
export interface CrashSuspectEntry {
  readonly marker: CrashMarker;
  readonly kind: CrashSuspect['kind'];
  readonly losses: number;
  readonly lastLossAgeMs: number;
  /** Time until it is no longer refused. */
  readonly leftMs: number;
}

/** Proof in a digest that a run with the marker began to answer without a crash. */
export interface SurvivalEntry {
  readonly marker: CrashMarker;
  readonly ageMs: number;
}

/** The last run with a marker that began to answer and went on. */
export interface Survival {
  /** When it began to answer. */
  readonly atMs: number;
  /** When this node learned of it. */
  readonly updatedAtMs: number;
}

/** Evidence of crashes that requests cause, from this node and its peers. */
export interface CrashState {
  /** Targets with a broken connection, and the requests that they were running. */
  readonly checks: Map<VmId, CrashCheck>;
  /** By engine process, oldest first. */
  readonly reports: Map<string, CrashReport>;
  /** The last crash that each marker in a report was part of. */
  readonly lastLossAtMs: Map<CrashMarker, number>;
  /** Of markers in reports only. */
  readonly survivals: Map<CrashMarker, Survival>;
  readonly suspects: Map<CrashMarker, CrashSuspect>;
  /** Last loss of markers that were suspects and were cleared, in order of clearance: peers that lag behind report them again. */
  readonly cleared: Map<CrashMarker, number>;
  /** Parts with which runs of this node survived lately, in order of use. */
  readonly soundPartIds: Set<PromptPartId>;
  /** Runs of this node since its start that began to answer and went on, by pool. */
  readonly survivedByPool: Map<string, number>;
  /** The evidence has changed since the suspects were derived from it. */
  isStale: boolean;
  /** Some part may become a suspect without another crash. */
  hasCandidate: boolean;
}
