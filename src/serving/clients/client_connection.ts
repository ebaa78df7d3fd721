import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {ListenerName} from './types.js';
import type {TurnQueue} from './turn_queue.js';

/** What Node.js does with bytes of a connection. */
type ParseBytes = (this: Socket, bytes: Buffer) => void;

/** Bytes that are parsed at a time outside of bodies; they hold some twenty of the shortest requests. */
const HEAD_STEP_BYTES = 512;
/** The same inside a body: at first, and doubled while it costs little. A body in parts of one byte takes Node.js some 5 ms for 6 KB. */
const MIN_BODY_STEP_BYTES = 2 * 1024;
const MAX_BODY_STEP_BYTES = 64 * 1024;
/** Time of a step after which other connections are read first. */
const MAX_STEP_MS = 1;

/**
 * A connection of a client. It is parsed in small steps, since a read of 64 KB
 * may hold thousands of requests or of parts of a body; what remains is put
 * back while the connection is held.
 */
export class ClientConnection {
  /** Requests whose answers have not been written completely. */
  openRequests = 0;
  /** Bytes since the last request began. */
  bytesWithoutRequest = 0;
  /** The last request that began. */
  private message?: IncomingMessage;
  private bodyStepBytes = MIN_BODY_STEP_BYTES;
  private isHeld = false;
  /** Others are read first. */
  private isWaiting = false;
  private parse?: ParseBytes;
  /** Bytes that the kernel had taken at the last check, and since when. */
  private writtenBytes = -1;
  private writtenAtMs = 0;
  private unreadMs = 0;

  constructor(
    readonly listener: ListenerName,
    readonly socket: Socket,
    private readonly turns: TurnQueue,
  ) {}

  /** Takes the reading over from the HTTP server, which has begun to listen to the socket. */
  start(onBytes: (connection: ClientConnection) => void): void {
    const {socket} = this;
    const [parse] = socket.listeners('data') as ParseBytes[];
    this.parse = parse;
    // Node.js gives the socket's handle back when a further listener is added.
    socket.on('data', bytes => this.read(bytes, onBytes));
    if (parse) socket.off('data', parse);
  }

  /** Notes that a request begins. */
  begin(message: IncomingMessage): void {
    this.message = message;
    this.bodyStepBytes = MIN_BODY_STEP_BYTES;
    this.bytesWithoutRequest = 0;
    this.openRequests += 1;
  }

  /** Stops reading until `release`. */
  hold(): void {
    this.isHeld = true;
    this.socket.pause();
  }

  /** Reads on when the connection has its turn. */
  release(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    this.waitForTurn();
  }

  /** Time for which written bytes stay unread, as of the last check; 0 when there are none. */
  get lastUnreadMs(): number {
    return this.socket.writableLength > 0 ? this.unreadMs : 0;
  }

  /** Checks how long written bytes stay unread; to be called regularly. */
  updateUnreadMs(nowMs: number): number {
    const {writableLength} = this.socket;
    const writtenBytes = this.socket.bytesWritten - writableLength;
    if (writableLength === 0 || writtenBytes !== this.writtenBytes) {
      this.writtenBytes = writtenBytes;
      this.writtenAtMs = nowMs;
    }
    this.unreadMs = nowMs - this.writtenAtMs;
    return this.unreadMs;
  }

  private waitForTurn(): void {
    this.socket.pause();
    if (this.isWaiting) return;
    this.isWaiting = true;
    this.turns.add(() => {
      this.isWaiting = false;
      if (!this.isHeld && !this.socket.destroyed) this.socket.resume();
    });
  }

  private read(
    bytes: Buffer,
    onBytes: (connection: ClientConnection) => void,
  ): void {
    const {socket} = this;
    let at = 0;
    while (at < bytes.length && !socket.destroyed) {
      // Node.js resumes the socket of its own accord when a body has room.
      if (this.isHeld || this.isWaiting || socket.isPaused()) {
        socket.pause();
        socket.unshift(at === 0 ? bytes : bytes.subarray(at));
        return;
      }
      const isInBody = this.message?.complete === false;
      const stepBytes = isInBody ? this.bodyStepBytes : HEAD_STEP_BYTES;
      const step =
        at === 0 && bytes.length <= stepBytes
          ? bytes
          : bytes.subarray(at, at + stepBytes);
      at += step.length;
      this.bytesWithoutRequest += step.length;
      const startedAtMs = performance.now();
      this.parse?.call(socket, step);
      onBytes(this);
      const hasMore = at < bytes.length || this.message?.complete === false;
      // Behind a whole request the close of its caller must be read at once.
      if (hasMore && performance.now() - startedAtMs > MAX_STEP_MS) {
        this.bodyStepBytes = MIN_BODY_STEP_BYTES;
        this.waitForTurn();
      } else if (isInBody) {
        this.bodyStepBytes = Math.min(
          2 * this.bodyStepBytes,
          MAX_BODY_STEP_BYTES,
        );
      }
    }
  }
}
