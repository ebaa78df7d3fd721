export {checkAddresses} from './check_addresses.js';
export {loadSettings} from './load_settings.js';
export {parseSettings} from './parse_settings.js';
export type * from './types.js';
