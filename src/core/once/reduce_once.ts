import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import {answerAsk} from './answer_ask.js';
import {retryWrites} from './retry_writes.js';
import {settleAsk} from './settle_ask.js';
import {settleStoreResult} from './settle_store_result.js';
import {sweepExpired} from './sweep_expired.js';
import {sweepPage} from './sweep_page.js';

/** Reduces the events of the at-most-once ledger: store results, peer queries and answers, and ticks. */
export function reduceOnce(step: Step, event: NodeEvent): void {
  switch (event.type) {
    case 'storeResult':
      if (event.area !== 'once' || sweepPage(step, event)) return;
      return settleStoreResult(step, event);
    case 'peerAnswered':
      if (event.area === 'once') settleAsk(step, event);
      return;
    case 'peerAsked':
      if (event.message.type === 'once.ask') {
        answerAsk(step, event, event.message);
      }
      return;
    case 'tick':
      retryWrites(step);
      return sweepExpired(step);
    default:
  }
}
