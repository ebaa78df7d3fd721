import type {EngineOptions} from './engine_options.js';

interface LoadService {
  readonly name: string;
  readonly kind: 'model' | 'application';
  readonly engines: number;
  readonly engine: EngineOptions;
}

interface LoadOrganisation {
  readonly name: string;
  readonly weight: number;
}

/** A target that runs slower by a factor for a period. */
interface Straggler {
  readonly service: string;
  readonly engine: number;
  readonly slowdown: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A target that refuses all requests for a period. */
interface Refuser {
  readonly service: string;
  readonly engine: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Nodes, targets and organisations of a load trace, from its head. */
export interface LoadFleet {
  readonly nodes: number;
  readonly services: readonly LoadService[];
  readonly organisations: readonly LoadOrganisation[];
  readonly stragglers: readonly Straggler[];
  readonly refusers: readonly Refuser[];
  readonly reportIntervalMs: number;
  readonly reportLagMs: number;
  /** Start of the load peak; requests sent within it are measured separately. */
  readonly crestFromMs: number;
  readonly crestUntilMs: number;
}
