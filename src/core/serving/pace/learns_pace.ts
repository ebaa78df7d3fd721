import type {ServiceName} from '../../ids/index.js';
import type {ServingState} from '../types.js';

/** Whether targets of a service start slowly. */
export function learnsPace(
  {config, bounds}: ServingState,
  service: ServiceName,
): boolean {
  if (bounds.learnsPace === false) return false;
  return config?.services.get(service)?.learnsPace === true;
}
