export {explainRequest} from './explain_request.js';
export {formatLogLine} from './format_log_line.js';
export {parseLogLine} from './parse_log_line.js';
export {readLog} from './read_log.js';
export type * from './types.js';
