import type {Socket} from 'node:net';
import type {Clock} from '../runtime/types.js';

interface TrackedConnection {
  readonly connectedAtMs: number;
  /** Nothing is read from it while its caller is slow, so its end would go unnoticed. */
  isPaused: boolean;
}

/**
 * The open connections of this node to one target. When a process ends, the
 * kernel closes all of its connections: one that stays open shows that the
 * process which accepted it still runs.
 */
export class EngineConnections {
  private readonly open = new Map<Socket, TrackedConnection>();
  /** The last connection that the target ended, and the one before: one of them is not the one asked about. */
  private readonly lastEnds: {
    readonly socket: Socket;
    readonly atMs: number;
  }[] = [];

  constructor(private readonly clock: Clock) {}

  /** Tracks a connection until its end; call it for each request, also where a connection is used again. */
  track(socket: Socket): void {
    if (this.open.has(socket) || socket.destroyed) return;
    if (socket.connecting) socket.once('connect', () => this.add(socket));
    else this.add(socket);
  }

  setPaused(socket: Socket, isPaused: boolean): void {
    const connection = this.open.get(socket);
    if (connection) connection.isPaused = isPaused;
  }

  /** Counts the open connections, other than `except`, to the process that ran at `atMs`: those established until then. */
  countOpenSince(atMs: number, except: Socket): number {
    let count = 0;
    for (const [socket, {connectedAtMs, isPaused}] of this.open) {
      if (socket === except || isPaused || connectedAtMs > atMs) continue;
      count += 1;
    }
    return count;
  }

  /** Whether the target has ended a connection other than `except` since `atMs`. The ends of further ones may have been lost in transit. */
  hasEndedSince(atMs: number, except: Socket): boolean {
    return this.lastEnds.some(end => end.socket !== except && end.atMs >= atMs);
  }

  private add(socket: Socket): void {
    const connectedAtMs = this.clock.nowMs();
    this.open.set(socket, {connectedAtMs, isPaused: false});
    socket.once('end', () => this.recordEnd(socket));
    socket.once('close', (hasError: boolean) => {
      if (hasError) this.recordEnd(socket);
      this.open.delete(socket);
    });
  }

  private recordEnd(socket: Socket): void {
    if (!this.open.delete(socket)) return;
    this.lastEnds.push({socket, atMs: this.clock.nowMs()});
    if (this.lastEnds.length > 2) this.lastEnds.shift();
  }
}
