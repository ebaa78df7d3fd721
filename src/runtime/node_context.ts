import type {Clock} from './clock.js';
import type {EventSink} from './event_sink.js';
import type {Logger} from '../logging/types.js';
import type {NodeMetrics} from '../metrics/types.js';
import type {NodeState} from '../core/state/types.js';
import type {Settings} from '../settings/types.js';

/** Dependencies shared by the components of a running node. */
export interface NodeContext {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly events: EventSink;
  /** Read only: only the event loop changes it. */
  readonly state: NodeState;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
}
