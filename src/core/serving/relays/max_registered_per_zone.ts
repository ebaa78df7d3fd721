import {MAX_DIRECT_ZONE_SIZE} from './max_direct_zone_size.js';

/** Maximum number of nodes of a zone that register with the store: enough to show that the zone needs relays, and to provide replacements for lost relays. */
export const MAX_REGISTERED_PER_ZONE = MAX_DIRECT_ZONE_SIZE + 1;
