export {callNode} from './call_node.js';
export {clientOptions} from './client_options.js';
export {describeFailure} from './describe_failure.js';
