import type {AttemptId, Incarnation, OnceKey} from '../ids/index.js';

/** Requests that the claim's holder give up the request if it was not dispatched. */
interface Ask {
  readonly type: 'once.ask';
  readonly onceKey: OnceKey;
  readonly incarnation: Incarnation;
  readonly claim: string;
}

/** Response to `once.ask`; `given-up`: the holder will never dispatch the request. */
interface Answer {
  readonly type: 'once.answer';
  readonly onceKey: OnceKey;
  readonly state: 'given-up' | 'dispatched' | 'not-mine';
  readonly attemptId?: AttemptId;
}

/** Messages about claims of unrepeatable requests. */
export type OnceMessage = Ask | Answer;
