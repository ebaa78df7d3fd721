import type {AttemptFailure} from '../requests/types.js';
import type {AttemptId} from '../ids/index.js';

/** The first byte of the request head was written to a socket. */
interface AttemptHeadSent {
  readonly type: 'attemptHeadSent';
  readonly attemptId: AttemptId;
}

interface AttemptFirstToken {
  readonly type: 'attemptFirstToken';
  readonly attemptId: AttemptId;
}

interface AttemptProgress {
  readonly type: 'attemptProgress';
  readonly attemptId: AttemptId;
  /** Tokens delivered by this attempt so far. */
  readonly tokens: number;
}

/** The complete response was delivered to the caller. */
interface AttemptEnded {
  readonly type: 'attemptEnded';
  readonly attemptId: AttemptId;
  readonly status: number;
  readonly tokens: number;
  /** Unrepeatable requests: the response, when it is small enough to be stored. */
  readonly answer?: {readonly contentType: string; readonly body: string};
}

interface AttemptFailed {
  readonly type: 'attemptFailed';
  readonly attemptId: AttemptId;
  readonly tokens: number;
  readonly failure: AttemptFailure;
  /** The caller has received bytes that no other attempt can continue. */
  readonly unresumable?: boolean;
}

/** What a target client reports about one attempt; payload bytes are never part of events. */
export type AttemptEvent =
  | AttemptHeadSent
  | AttemptFirstToken
  | AttemptProgress
  | AttemptEnded
  | AttemptFailed;
