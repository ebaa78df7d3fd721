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

  constructor(private readonly clock: Clock) {}

  /** Tracks a connection until its end; call it for each request, also where a connection is used again. */
  track(socket: Socket): void {
    if (this.open.has(socket) || socket.destroyed) return;
    if (socket.connecting) {
      socket.once('connect', () => this.add(socket));
    } else {
      this.add(socket);
    }
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

  private add(socket: Socket): void {
    const connectedAtMs = this.clock.nowMs();
    this.open.set(socket, {connectedAtMs, isPaused: false});
    const remove = () => void this.open.delete(socket);
    socket.once('end', remove);
    socket.once('close', remove);
  }
}
