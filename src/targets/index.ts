export {AttemptRunner} from './attempt_runner.js';
export {OrderSender} from './order_sender.js';
export {ReportPoller} from './report_poller.js';
export {createPrefixHashes} from './create_prefix_hashes.js';
export {resolvePrompt} from './resolve_prompt.js';
