export type {Clock} from './clock.js';
export type {EffectHandler} from './effect_handler.js';
export type {EventSink} from './event_sink.js';
export type {NodeContext} from './node_context.js';
export type {RunningNode} from './running_node.js';
