import type {EffectOf} from '../../core/effects/types.js';
import type {EngineAssignment} from '../../core/targets/types.js';
import type {FleetEngine} from './fleet_engine.js';
import type {VirtualNode} from '../virtual_node.js';

/** An order received by an engine, and its outcome. */
export interface OrderArrival {
  readonly engine: FleetEngine;
  readonly order: EffectOf<'sendOrder'>;
  readonly node: VirtualNode;
  readonly outcome: 'done' | 'fenced';
  /** Assignment of the engine before the order. */
  readonly before?: EngineAssignment | undefined;
}
