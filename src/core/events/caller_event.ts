import type {CallerRequest} from '../requests/types.js';
import type {RequestId} from '../ids/index.js';

interface RequestArrived {
  readonly type: 'requestArrived';
  readonly request: CallerRequest;
}

/** The caller's connection closed before its response was complete. */
interface CallerGone {
  readonly type: 'callerGone';
  readonly requestId: RequestId;
}

/** What the caller front end reports. */
export type CallerEvent = RequestArrived | CallerGone;
