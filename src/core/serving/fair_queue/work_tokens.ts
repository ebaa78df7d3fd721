import type {RequestRecord} from '../types.js';

/** Tokens charged for the slot of a request beside its prompt, so that a flood of tiny prompts is not free. The length of the response is unknown at admission. */
const SLOT_TOKENS = 500;

/** Returns the work that a request counts as when it is admitted. */
export function workTokens({request}: RequestRecord): number {
  return SLOT_TOKENS + request.promptTokens;
}
