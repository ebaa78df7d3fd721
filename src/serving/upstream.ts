import type {AttemptId} from '../core/ids/index.js';
import type {CallerCall} from './caller_call.js';
import type {UpstreamFault} from './upstream_fault.js';
import type {
  IncomingHttpHeaders,
  IncomingMessage,
  OutgoingHttpHeaders,
} from 'node:http';

/** Where a request is sent to: a target, or another node that passes it on. */
export interface Upstream {
  readonly attemptId: AttemptId;
  readonly address: string;
  readonly isStream: boolean;
  readonly isResumable: boolean;
  /** A server error is kept while the request is sent elsewhere, instead of being forwarded. */
  readonly keepsErrors: boolean;
  createHeaders(call: CallerCall): OutgoingHttpHeaders;
  /** Called when a new connection was established. */
  handleConnect(connectMs: number): void;
  /** Returns what is wrong with a response by its head; undefined for one that is forwarded. */
  checkHead(
    response: IncomingMessage,
    call: CallerCall,
    isConnectionReused: boolean,
  ): UpstreamFault | undefined;
  /** Returns the headers that the caller gets. */
  selectHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders;
}
