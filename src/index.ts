export {createNode} from './runtime/index.js';
export {HttpPlatformStore} from './store/index.js';
export type {Settings} from './settings/types.js';
export type {PlatformStore} from './core/store/types.js';
export type {RunningNode} from './runtime/types.js';
