import type {AttemptFault, ServingEvent} from '../core/serving/types.js';

/** Why a response is no answer for the caller. */
export type UpstreamFault = Pick<
  Extract<ServingEvent, {type: 'attemptFailed'}>,
  'status' | 'detail' | 'faultyVmId' | 'refusal'
> & {
  readonly fault: AttemptFault;
  /** The rest of the response is read, so that its connection can be reused. */
  readonly isDrained: boolean;
};
