import type {AttemptId, Incarnation, OnceKey} from '../ids/index.js';

/** Asks the claim's holder to give the request up if it was not dispatched. */
interface Ask {
  readonly type: 'once.ask';
  readonly onceKey: OnceKey;
  readonly incarnation: Incarnation;
  readonly claim: string;
}

/** `given-up`: the holder will never dispatch it. */
interface Answer {
  readonly type: 'once.answer';
  readonly onceKey: OnceKey;
  readonly state: 'given-up' | 'dispatched' | 'not-mine';
  readonly attemptId?: AttemptId;
}

/** Messages of the once area. */
export type OnceMessage = Ask | Answer;
