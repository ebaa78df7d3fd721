import type {EngineRecord} from '../../fleet/types.js';
import type {ServingStep} from '../types.js';
import {recordCold} from './record_cold.js';

/**
 * Records what an engine's new entry says of its cold time, which counts from now
 * at most. A process that this node has not seen before is taken to have started
 * just now, unless `isFirstList`: the first list after the node's own start has
 * engines of any age.
 */
export function recordColdEntry(
  step: ServingStep,
  engine: EngineRecord,
  {
    isFirstList,
    knownBornAtMs,
  }: {
    readonly isFirstList: boolean;
    /** Start time of the process that this node last knew under the engine's id. */
    readonly knownBornAtMs: number | undefined;
  },
): void {
  if (!isFirstList && engine.bornAtMs !== knownBornAtMs) {
    recordCold(step, engine, {leftMs: undefined, source: 'start'});
  }
  const {coldLeftMs} = engine;
  if (coldLeftMs === undefined) return;
  recordCold(step, engine, {leftMs: coldLeftMs, source: 'entry'});
}
