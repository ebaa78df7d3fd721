export {ApplicationStandin} from './application_standin.js';
export {EngineStandin} from './engine_standin.js';
export {MemoryPlatform} from './memory_platform.js';
export {PlatformStandin} from './platform_standin.js';
export type {EngineOptions} from './engine_options.js';
