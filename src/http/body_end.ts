import type {IncomingMessage} from 'node:http';
import type {BodyEndKind} from './body_end_kind.js';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Tells how the body of a response ends; to be created when the head arrives.
 *
 * A body without a length or chunks ends with its connection, and a reset that
 * arrives together with the last bytes looks like an orderly close: where a read
 * was shorter than its buffer, libuv reports a hang-up as the end of the file.
 * What differs is that the socket has no remote address after a reset. Node.js
 * caches the address when it is first read, so nothing may read it before.
 */
export class BodyEnd {
  private wasReset = false;

  constructor(
    private readonly response: IncomingMessage,
    private readonly method: string,
  ) {
    if (!this.isConnectionEnd) return;
    const {socket} = response;
    // Before the HTTP client's own listener, which ends the response.
    socket.prependOnceListener('end', () => {
      this.wasReset = socket.remoteAddress === undefined;
    });
  }

  /** Whether the body ends with its connection. */
  get isConnectionEnd(): boolean {
    return this.delimiter === 'close';
  }

  /** How the body ended; to be read when it has. */
  get kind(): BodyEndKind {
    if (!this.response.complete) return 'early';
    return this.wasReset ? 'reset' : this.delimiter;
  }

  private get delimiter(): 'length' | 'chunk' | 'close' | 'none' {
    const {statusCode, headers} = this.response;
    const hasNoBody = statusCode === NO_CONTENT || statusCode === NOT_MODIFIED;
    if (hasNoBody || this.method === 'HEAD') return 'none';
    if (headers['transfer-encoding'] !== undefined) return 'chunk';
    return headers['content-length'] === undefined ? 'close' : 'length';
  }
}
