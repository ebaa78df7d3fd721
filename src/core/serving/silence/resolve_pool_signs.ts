import type {ServingState} from '../types.js';
import type {SignRecord} from './types.js';
import {createSignRecord} from './create_sign_record.js';

/** Returns the record of the signs of a pool's targets, and creates it if there is none. */
export function resolvePoolSigns(
  {poolSigns}: ServingState,
  pool: string,
): SignRecord {
  let signs = poolSigns.get(pool);
  if (!signs) {
    signs = createSignRecord();
    poolSigns.set(pool, signs);
  }
  return signs;
}
