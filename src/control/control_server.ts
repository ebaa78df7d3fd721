import type {NodeContext} from '../runtime/types.js';
import type {OperatorApi} from '../operators/index.js';
import type {PeerServer} from '../peers/index.js';

interface ControlRoutes {
  readonly operators: OperatorApi;
  readonly peerServer: PeerServer;
}

/** HTTP server on the control address: `/operator`, `/trpc`, `/metrics`, `/healthz`, `/readyz`. */
export class ControlServer {
  constructor(
    private readonly context: NodeContext,
    private readonly routes: ControlRoutes,
  ) {}

  async listen(): Promise<void> {}

  async close(): Promise<void> {}

  destroy(): void {}
}
