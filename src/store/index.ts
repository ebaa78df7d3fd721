export {HttpPlatformStore} from './http_platform_store.js';
export {StoreRunner} from './store_runner.js';
