import type {ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Counts the bytes of an answer as they come off its connection, and reports
 * when there are more than any sound answer has.
 *
 * The parser's own limits are not enough: interim answers, empty lines, chunk
 * extensions and trailers reach nobody who could count them, and an answer can
 * go on in these for as long as it is read.
 */
export class AnswerLimit {
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

  /** Counts anew, since what came so far was of use. */
  renew(limitBytes = this.limitBytes): void {
    this.sizeBytes = 0;
    this.limitBytes = limitBytes;
  }

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
