import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import {callStewardStore} from './call_steward_store.js';
import {documentKey} from './document_key.js';

/** Starts a read of the domain's document. */
export function readDocument(step: Step, stewardship: Stewardship): void {
  const key = documentKey(stewardship.domain);
  callStewardStore(step, stewardship, 'read', {kind: 'get', key});
}
