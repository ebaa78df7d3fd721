import type {ServiceName} from '../../ids/index.js';
import type {ServingState} from '../types.js';

/** Whether targets of a service start slowly. */
export function learnsPace(
  {config}: ServingState,
  service: ServiceName,
): boolean {
  return config?.services.get(service)?.learnsPace === true;
}
