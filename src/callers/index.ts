export {CallerServer} from './caller_server.js';
export {selectEndToEndHeaders} from './select_end_to_end_headers.js';
export type * from './types.js';
