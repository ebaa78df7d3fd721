export type {StoreEntry} from './store_entry.js';
export type {StoreOperation} from './store_operation.js';
export type {StoreOutcome} from './store_outcome.js';
export type {VmRecord} from './vm_record.js';
export type {PlatformStore} from './platform_store.js';
