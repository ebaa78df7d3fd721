import {createServer} from 'node:http';
import {gzipSync} from 'node:zlib';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
  EngineList,
  HeldConfig,
  ServingContext,
  ServingPart,
} from './types.js';
import {listenOn} from './listen_on.js';

/** Several nodes ask for the engines at once, after the same change. */
const FRESH_MS = 100;

interface Packed {
  readonly key: string | number;
  readonly bytes: Buffer;
  readonly atMs: number;
}

/** Hands the configuration and the engines on to nodes that would otherwise all read the store. */
export class DocumentServer implements ServingPart {
  private config?: Packed;
  private engines?: Packed;
  private readonly server = createServer((message, response) => {
    response.sendDate = false;
    this.answer(message, response);
  });

  constructor(
    private readonly context: ServingContext,
    private readonly held: HeldConfig,
  ) {}

  listen(): Promise<void> {
    return listenOn(this.server, this.context.settings.listen.documents);
  }

  close(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
    return Promise.resolve();
  }

  private answer(message: IncomingMessage, response: ServerResponse): void {
    const {state, clock} = this.context;
    const nowMs = clock.nowMs();
    if (message.url === '/configuration' && this.held.text !== undefined) {
      const {version} = this.held;
      if (this.config?.key !== version) {
        const bytes = gzipSync(this.held.text, {level: 1});
        this.config = {key: version, bytes, atMs: nowMs};
      }
      send(response, this.config!.bytes, nowMs - state.configProvenAtMs);
      return;
    }
    if (message.url === '/engines' && state.isFleetKnown) {
      send(response, this.packEngines(nowMs), nowMs - state.fleetKnownAtMs);
      return;
    }
    response.writeHead(404).end();
  }

  private packEngines(nowMs: number): Buffer {
    const {state} = this.context;
    const key = `${state.engineCount}/${state.revisionSum}`;
    const isFresh =
      this.engines?.key === key && nowMs - this.engines.atMs < FRESH_MS;
    if (!isFresh || !this.engines) {
      let revision = state.fleetRevision;
      for (const known of state.engineRevisions.values()) {
        revision = Math.max(revision, known);
      }
      const list: EngineList = {
        revision,
        changes: [...state.engines.values()].map(engine => ({
          vmId: engine.vmId,
          revision: engine.revision,
          engine,
        })),
      };
      const bytes = gzipSync(JSON.stringify(list), {level: 1});
      this.engines = {key, bytes, atMs: nowMs};
    }
    return this.engines.bytes;
  }
}

/** Age of what is handed on, since this node's proof of it. */
function send(response: ServerResponse, bytes: Buffer, ageMs: number): void {
  response
    .writeHead(200, {
      'content-type': 'application/json',
      'content-encoding': 'gzip',
      'content-length': bytes.length,
      'rhubarbstile-age-ms': Number.isFinite(ageMs) ? Math.ceil(ageMs) : -1,
    })
    .end(bytes);
}
