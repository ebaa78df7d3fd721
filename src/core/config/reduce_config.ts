import type {EventOf, NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import {answerConfigRequest} from './answer_config_request.js';
import {answerPull} from './answer_pull.js';
import {beginPublication, noteJobResult, tickJobs} from './publish/index.js';
import {catchUp} from './catch_up.js';
import {compareStoredHead} from './compare_stored_head.js';
import {notePullAnswer} from './note_pull_answer.js';
import {noteText} from './note_text.js';
import {pullChanges} from './pull_changes.js';
import {readHead} from './read_head.js';
import {storeBackoffMs} from '../membership/index.js';

/** Reducer of the configuration: publishing, reading from the store and exchange with peers. */
export function reduceConfig(step: Step, event: NodeEvent): void {
  switch (event.type) {
    case 'tick':
      return tick(step);
    case 'storeResult':
      return noteStoreResult(step, event);
    case 'peerExchanged':
      return pullChanges(step);
    case 'peerAsked':
      return answerPull(step, event);
    case 'peerAnswered':
      return notePullAnswer(step, event);
    case 'operatorAsked':
      return answerOperator(step, event);
    default:
  }
}

function tick(step: Step): void {
  catchUp(step);
  readHead(step);
  pullChanges(step);
  tickJobs(step);
}

function answerOperator(step: Step, event: EventOf<'operatorAsked'>): void {
  const {request} = event;
  if (request.kind === 'publish') beginPublication(step, event, request);
  else answerConfigRequest(step, event);
}

function noteStoreResult(step: Step, event: EventOf<'storeResult'>): void {
  const {config} = step.state;
  const call = config.calls.get(event.operationId);
  if (event.area !== 'config' || !call) return;
  config.calls.delete(event.operationId);
  const {outcome} = event;
  switch (call.purpose) {
    case 'job':
      return noteJobResult(step, call, outcome);
    case 'text':
      return noteText(step, event.operationId, call, outcome);
    case 'head':
    case 'watch':
      return noteHeadResult(step, call.purpose, outcome);
    default:
  }
}

function noteHeadResult(
  step: Step,
  purpose: 'head' | 'watch',
  outcome: EventOf<'storeResult'>['outcome'],
): void {
  const {config} = step.state;
  if (outcome.kind !== 'ok') {
    const retryAtMs = step.nowMs + storeBackoffMs(step.state);
    if (purpose === 'head') config.nextHeadAtMs = retryAtMs;
    else config.nextWatchAtMs = retryAtMs;
    return;
  }
  const [entry] = outcome.entries ?? [];
  // A watch that ends without a change returns no entries.
  if (entry || purpose === 'head') compareStoredHead(step, entry);
}
