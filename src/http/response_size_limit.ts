import type {ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Limits the size of a response by counting its bytes on the socket, and calls
 * back once when the limit is exceeded.
 *
 * The limits of the HTTP parser are not sufficient: interim responses, empty
 * lines, chunk extensions and trailers are not passed to any listener that
 * could count them, so a response could consist of them without end.
 */
export class ResponseSizeLimit {
  private socket?: Socket;
  private sizeBytes = 0;

  constructor(
    call: ClientRequest,
    private limitBytes: number,
    private readonly onExceeded: () => void,
  ) {
    call.once('socket', socket => {
      this.socket = socket;
      socket.on('data', this.count);
    });
    call.once('close', () => this.close());
  }

  /** Resets the count, optionally with a new limit; called when the response has made progress. */
  reset(limitBytes = this.limitBytes): void {
    this.sizeBytes = 0;
    this.limitBytes = limitBytes;
  }

  /** Subtracts bytes of the body, so that what is around them is limited. */
  subtract(sizeBytes: number): void {
    this.sizeBytes -= sizeBytes;
  }

  /** Stops counting; happens by itself when the request closes. */
  close(): void {
    this.socket?.off('data', this.count);
  }

  private readonly count = ({length}: Buffer) => {
    this.sizeBytes += length;
    if (this.sizeBytes <= this.limitBytes) return;
    this.close();
    this.onExceeded();
  };
}
