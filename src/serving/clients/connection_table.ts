import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../../runtime/types.js';
import type {LimitLog} from './limit_log.js';
import type {LimitReason, ListenerLimits, ListenerName} from './types.js';
import {ClientConnection} from './client_connection.js';
import {TurnQueue} from './turn_queue.js';

/** Connections of one listener, the oldest first. */
interface ListenerConnections {
  readonly all: Set<ClientConnection>;
  /** No request was read on them yet. */
  readonly unused: Set<ClientConnection>;
  /** Without a request in progress. */
  readonly idle: Set<ClientConnection>;
}

/**
 * The connections of clients at all listeners, and the limits on them: how
 * many there are, requests in progress on each, bytes that are no request, and
 * answers that stay unread.
 */
export class ConnectionTable {
  private readonly connections = new Map<Socket, ClientConnection>();
  private readonly listeners = new Map<ListenerName, ListenerConnections>();
  private readonly turns = new TurnQueue();
  /** Requests in progress behind the first one of their connection. */
  private requestsBehind = 0;
  /** Ends the request with the slowest body; false if none has stalled. */
  private endStalledBody: (listener: ListenerName) => boolean = () => false;

  constructor(
    private readonly limits: ListenerLimits,
    private readonly clock: Clock,
    private readonly log: LimitLog,
  ) {}

  /** Sets what ends a stalled body when a listener has too many connections. */
  onFull(endStalledBody: (listener: ListenerName) => boolean): void {
    this.endStalledBody = endStalledBody;
  }

  /** Takes a new connection, and closes another one or else the new one where the listener has too many. */
  admit(listener: ListenerName, socket: Socket): void {
    const connection = new ClientConnection(listener, socket, this.turns);
    const {all, unused} = this.connectionsOf(listener);
    if (
      all.size >= this.limits.connections[listener] &&
      !this.makeRoom(listener)
    ) {
      this.end(connection, 'connections');
      return;
    }
    this.connections.set(socket, connection);
    all.add(connection);
    unused.add(connection);
    socket.once('close', () => this.remove(connection));
    connection.start(this.checkBytes);
  }

  /** Counts a request until its answer has been written. False if its connection was closed, so that it must not run. */
  begin(message: IncomingMessage, response: ServerResponse): boolean {
    const {socket} = message;
    const connection = this.connections.get(socket);
    if (!connection || socket.destroyed) return false;
    const {pausedRequests, maxRequests, maxRequestsBehind} = this.limits;
    const isBehind = connection.openRequests > 0;
    if (
      connection.openRequests >= maxRequests ||
      (isBehind && this.requestsBehind >= maxRequestsBehind)
    ) {
      this.end(connection, 'requests-ahead');
      return false;
    }
    const {unused, idle} = this.connectionsOf(connection.listener);
    unused.delete(connection);
    idle.delete(connection);
    connection.begin(message);
    if (isBehind) this.requestsBehind += 1;
    response.once('close', () => this.finish(connection));
    // Requests behind an unread answer wait in the kernel.
    if (
      connection.openRequests >= pausedRequests ||
      socket.writableLength > 0
    ) {
      connection.hold();
    }
    return true;
  }

  /** Closes the connections whose answers stay unread. */
  sweep(): void {
    const nowMs = this.clock.nowMs();
    const {unreadMs} = this.limits;
    for (const connection of this.connections.values()) {
      if (connection.updateUnreadMs(nowMs) > unreadMs) {
        this.end(connection, 'unread-answer');
      }
    }
    this.log.flush();
  }

  private readonly checkBytes = (connection: ClientConnection) => {
    if (connection.openRequests > 0) return;
    if (connection.bytesWithoutRequest <= this.limits.maxHeadBytes) return;
    this.end(connection, 'head-bytes');
  };

  /** Closes all connections. */
  close(): void {
    this.turns.close();
    for (const socket of this.connections.keys()) socket.destroy();
  }

  /** Closes the oldest connection without a request, or one whose client has stalled. False if there is none. */
  private makeRoom(listener: ListenerName): boolean {
    const {all, unused, idle} = this.connectionsOf(listener);
    const [oldest] = unused.size > 0 ? unused : idle;
    if (oldest) {
      this.end(oldest, 'connections');
      return true;
    }
    if (this.endStalledBody(listener)) return true;
    for (const connection of all) {
      if (connection.lastUnreadMs < this.limits.pressureStallMs) continue;
      this.end(connection, 'unread-answer');
      return true;
    }
    return false;
  }

  private end(connection: ClientConnection, reason: LimitReason): void {
    this.log.add(connection.listener, reason);
    this.remove(connection);
    connection.socket.destroy();
  }

  private finish(connection: ClientConnection): void {
    connection.openRequests -= 1;
    if (connection.openRequests > 0) this.requestsBehind -= 1;
    if (!this.connections.has(connection.socket)) return;
    if (connection.openRequests < this.limits.pausedRequests) {
      connection.release();
    }
    if (connection.openRequests > 0) return;
    connection.bytesWithoutRequest = 0;
    this.connectionsOf(connection.listener).idle.add(connection);
  }

  private remove(connection: ClientConnection): void {
    if (!this.connections.delete(connection.socket)) return;
    const {all, unused, idle} = this.connectionsOf(connection.listener);
    for (const set of [all, unused, idle]) set.delete(connection);
  }

  private connectionsOf(listener: ListenerName): ListenerConnections {
    let found = this.listeners.get(listener);
    if (!found) {
      found = {all: new Set(), unused: new Set(), idle: new Set()};
      this.listeners.set(listener, found);
    }
    return found;
  }
}
