export {CallerServer} from './caller_server.js';
export {passOnHeaders} from './pass_on_headers.js';
export type * from './types.js';
