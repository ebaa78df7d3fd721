import type {ModelName, ServiceName} from '../ids/index.js';

/** Key of the targets that can answer a request: those of a model, or of an application service. */
export function poolKey(service: ServiceName, model?: ModelName): string {
  return model === undefined ? service : `${service}/${model}`;
}
