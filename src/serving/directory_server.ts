import {createServer} from 'node:http';
import type {ServingContext, ServingPart} from './types.js';
import {listenOn} from './listen_on.js';
import {resolveEntries} from '../core/serving/index.js';

/** How long callers keep an answer: short enough that a lost node is left within seconds, long enough to cost little. */
const KEEP_MS = 2000;

/** Tells callers which nodes take requests. */
export class DirectoryServer implements ServingPart {
  private readonly server = createServer((message, response) => {
    const {wire, state, clock, settings} = this.context;
    response.sendDate = false;
    const [path, query] = (message.url ?? '').split('?');
    if (path !== wire.directory.path) {
      response.writeHead(404).end();
      return;
    }
    const addresses = resolveEntries(
      state,
      clock.nowMs(),
      wire.directory.readZone(query ?? ''),
    );
    if (!addresses) {
      response.writeHead(503).end();
      return;
    }
    const keepMs = Math.min(KEEP_MS, settings.maxKeepMs);
    const body = wire.directory.writeAddresses(addresses, keepMs);
    response
      .writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      })
      .end(body);
  });

  constructor(private readonly context: ServingContext) {}

  listen(): Promise<void> {
    return listenOn(this.server, this.context.settings.listen.directory);
  }

  close(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
    return Promise.resolve();
  }
}
