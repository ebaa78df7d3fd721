import type {ModelName, ServiceName} from '../ids/index.js';

/** Key of a pool of targets: those that serve one model, or those of an application service. */
export function poolKey(service: ServiceName, model?: ModelName): string {
  return model === undefined ? service : `${service}/${model}`;
}
