export {LogRunner} from './log_runner.js';
export {createLogger} from './create_logger.js';
export type * from './types.js';
