export {AttemptRunner} from './attempt_runner.js';
export {OrderSender} from './order_sender.js';
export {ReportPoller} from './report_poller.js';
