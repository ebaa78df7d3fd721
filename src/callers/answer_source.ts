import type {OpenAnswer} from './open_answer.js';
import type {RequestId} from '../core/ids/index.js';

/** Looks up responses in progress. */
export interface AnswerSource {
  /** Undefined once the response has ended or the caller has disconnected. */
  find(requestId: RequestId): OpenAnswer | undefined;
}
