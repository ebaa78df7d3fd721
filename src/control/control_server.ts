import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {NodeContext} from '../runtime/types.js';
import type {OperatorApi} from '../operators/index.js';
import type {PeerServer} from '../peers/index.js';
import {updateInFlightGauge} from '../metrics/index.js';
import {createRefusal} from '../core/errors/index.js';
import {resolveReadiness} from './resolve_readiness.js';
import {sendJson, sendRefusal, splitAddress} from '../http/index.js';

interface ControlRoutes {
  readonly operators: OperatorApi;
  readonly peerServer: PeerServer;
}

const CLOSE_TIMEOUT_MS = 1000;
const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/**
 * HTTP server on the control address: `/operator`, `/trpc`, `/metrics`,
 * `/healthz` and `/readyz`.
 */
export class ControlServer {
  private readonly server: Server;
  private isClosing = false;

  constructor(
    private readonly context: NodeContext,
    private readonly routes: ControlRoutes,
  ) {
    const {limits} = context.settings;
    this.server = createServer(
      {
        maxHeaderSize: limits.maxHeaderBytes,
        headersTimeout: limits.requestTimeoutMs,
        requestTimeout: limits.requestTimeoutMs,
        keepAliveTimeout: limits.idleTimeoutMs,
      },
      (request, response) => this.serve(request, response),
    );
  }

  /** Listens on the control address of the settings; rejects when it cannot be opened. */
  listen(): Promise<void> {
    const {controlAddress} = this.context.settings.node;
    const {host, port} = splitAddress(controlAddress);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /**
   * Stops accepting connections and resolves when pending responses are sent.
   * Peers keep their connections busy, so every further response carries
   * `connection: close`, and connections that remain after `CLOSE_TIMEOUT_MS`
   * are dropped.
   */
  close(): Promise<void> {
    this.isClosing = true;
    return new Promise(resolve => {
      const timer = setTimeout(
        () => this.server.closeAllConnections(),
        CLOSE_TIMEOUT_MS,
      );
      this.server.close(() => {
        clearTimeout(timer);
        resolve();
      });
      this.server.closeIdleConnections();
    });
  }

  /** Stops accepting connections and drops the open ones at once. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const path = (request.url ?? '/').split('?', 1)[0]!;
    request.on('error', () => {});
    if (this.isClosing) response.setHeader('connection', 'close');
    response.on('error', () => {});
    if (path.startsWith('/operator/')) {
      this.routes.operators.serve(request, response);
    } else if (path.startsWith('/trpc/')) {
      this.routes.peerServer.serve(request, response);
    } else {
      this.serveState(path, request, response);
    }
  }

  private serveState(
    path: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const isStatePath = ['/healthz', '/readyz', '/metrics'].includes(path);
    if (!isStatePath) {
      const params = {path};
      sendRefusal(response, createRefusal('PathNotFound', 'not-run', {params}));
    } else if (request.method !== 'GET') {
      const params = {method: request.method ?? '', path, allowed: 'GET'};
      const refusal = createRefusal('MethodNotAllowed', 'not-run', {params});
      sendRefusal(response, refusal);
    } else if (path === '/metrics') {
      void this.sendMetrics(response);
    } else if (path === '/readyz') {
      const answer = resolveReadiness(
        this.context.state,
        this.context.clock.nowMs(),
      );
      sendJson(response, answer.ready ? 200 : 503, answer);
    } else {
      sendJson(response, 200, {status: 'ok'});
    }
  }

  private async sendMetrics(response: ServerResponse): Promise<void> {
    const {metrics, state} = this.context;
    updateInFlightGauge(metrics, state);
    const text = await metrics.render();
    response.writeHead(200, {'content-type': METRICS_CONTENT_TYPE});
    response.end(text);
  }
}
