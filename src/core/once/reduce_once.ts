import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import {answerClaimQuery} from './answer_claim_query.js';
import {retryWrites} from './retry_writes.js';
import {settleClaimQuery} from './settle_claim_query.js';
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
      if (event.area === 'once') settleClaimQuery(step, event);
      return;
    case 'peerAsked':
      if (event.message.type === 'once.ask') {
        answerClaimQuery(step, event, event.message);
      }
      return;
    case 'tick':
      retryWrites(step);
      return sweepExpired(step);
    default:
  }
}
