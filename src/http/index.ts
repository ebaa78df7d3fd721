export {AnswerLimit} from './answer_limit.js';
export {KeptAgent} from './kept_agent.js';
export {readBody} from './read_body.js';
export {sendJson} from './send_json.js';
export {sendRefusal} from './send_refusal.js';
export {splitAddress} from './split_address.js';
