export {isHeaderText} from './is_header_text.js';
export {isRequestPath} from './is_request_path.js';
export {ResponseSizeLimit} from './response_size_limit.js';
export {KeepAliveAgent} from './keep_alive_agent.js';
export {readBody} from './read_body.js';
export {sendJson} from './send_json.js';
export {sendRefusal} from './send_refusal.js';
export {splitAddress} from './split_address.js';
