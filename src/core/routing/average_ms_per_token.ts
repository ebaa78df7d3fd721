import type {ServiceName} from '../ids/index.js';
import type {Step} from '../state/types.js';

/** Moving average of the time per token over a service's targets; 0 until measured. */
export function averageMsPerToken(step: Step, service: ServiceName): number {
  return step.state.routing.pools.get(service)?.msPerToken ?? 0;
}
