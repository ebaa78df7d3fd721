export {CallerServer} from './caller_server.js';
export type * from './types.js';
