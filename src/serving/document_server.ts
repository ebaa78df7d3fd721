import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {gzipSync} from 'node:zlib';
import type {
  EngineList,
  ConfigCache,
  ServingContext,
  ServingComponent,
} from './types.js';
import {createLimitedServer} from './clients/create_limited_server.js';
import {listenOn} from './listen_on.js';

/** How long a compressed engine list is reused, because several nodes request it at once after the same change. */
const ENGINES_CACHE_MS = 100;

interface CachedBody {
  /** Version of the content: the body is rebuilt when it changes. */
  readonly key: string | number;
  readonly bytes: Buffer;
  readonly atMs: number;
}

/** Serves the configuration and the engine list to other nodes, which would otherwise all read the store. */
export class DocumentServer implements ServingComponent {
  private config?: CachedBody;
  private engines?: CachedBody;
  private readonly server: Server;
  constructor(
    private readonly context: ServingContext,
    private readonly configCache: ConfigCache,
  ) {
    this.server = createLimitedServer(
      context.clients.connections,
      'documents',
      (message, response) => {
        response.sendDate = false;
        this.answer(message, response);
      },
    );
  }

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
    if (
      message.url === '/configuration' &&
      this.configCache.text !== undefined
    ) {
      const {version} = this.configCache;
      if (this.config?.key !== version) {
        const bytes = gzipSync(this.configCache.text, {level: 1});
        this.config = {key: version, bytes, atMs: nowMs};
      }
      sendDocument(
        response,
        this.config!.bytes,
        nowMs - state.configProvenAtMs,
      );
      return;
    }
    if (message.url === '/engines' && state.isFleetKnown) {
      sendDocument(
        response,
        this.compressEngines(nowMs),
        nowMs - state.fleetProvenAtMs,
      );
      return;
    }
    response.writeHead(404).end();
  }

  private compressEngines(nowMs: number): Buffer {
    const {state} = this.context;
    const key = `${state.engineCount}/${state.revisionSum}`;
    const isFresh =
      this.engines?.key === key && nowMs - this.engines.atMs < ENGINES_CACHE_MS;
    if (!isFresh || !this.engines) {
      let revision = state.fleetRevision;
      for (const engineRevision of state.engineRevisions.values()) {
        revision = Math.max(revision, engineRevision);
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

/** Sends a document with its age: the time since it was last known to be current; -1 when that is unknown. */
function sendDocument(
  response: ServerResponse,
  bytes: Buffer,
  ageMs: number,
): void {
  response
    .writeHead(200, {
      'content-type': 'application/json',
      'content-encoding': 'gzip',
      'content-length': bytes.length,
      'rhubarbstile-age-ms': Number.isFinite(ageMs) ? Math.ceil(ageMs) : -1,
    })
    .end(bytes);
}
