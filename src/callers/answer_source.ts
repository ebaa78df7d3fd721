import type {OpenAnswer} from './open_answer.js';
import type {RequestId} from '../core/ids/index.js';

/** Finds open answers. */
export interface AnswerSource {
  /** Undefined once the caller has left. */
  find(requestId: RequestId): OpenAnswer | undefined;
}
