import {DIRECT_ZONE_SIZE} from './direct_zone_size.js';

/** Nodes of a zone that register with the store: enough to tell that the zone is large, and to hold relays that outlive others. */
export const REGISTER_COUNT = DIRECT_ZONE_SIZE + 1;
