import type {EffectOf} from '../../core/effects/types.js';
import type {EngineAssignment} from '../../core/targets/types.js';
import type {FleetEngine} from './fleet_engine.js';
import type {VirtualNode} from '../virtual_node.js';

/** An order at an engine, and what it did there. */
export interface OrderArrival {
  readonly engine: FleetEngine;
  readonly order: EffectOf<'sendOrder'>;
  readonly node: VirtualNode;
  readonly outcome: 'done' | 'fenced';
  /** What the engine was assigned to before. */
  readonly before?: EngineAssignment | undefined;
}
