import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
  StoreOperation,
  StoreOutcome,
  VmRecord,
} from '../core/store/types.js';
import {HttpService} from './http_service.js';
import {MemoryPlatform} from './memory_platform.js';
import {readJson} from './read_json.js';
import {sendJson} from './send_json.js';

const EXPIRY_CHECK_MS = 50;
const DEFAULT_SLOW_MS = 1500;

interface PlatformOptions {
  readonly vms?: readonly VmRecord[];
  readonly weightTokensPerSecond?: number;
}

interface PlatformFault {
  /**
   * `down` rejects operations; `slow` delays responses; `lose-answers` performs
   * operations and closes the connection instead of responding.
   */
  readonly mode: 'none' | 'down' | 'slow' | 'lose-answers';
  /** Duration of the fault; absent: until the next one is set. */
  readonly forMs?: number;
  /** Kinds of operation that are affected; absent: all. */
  readonly kinds?: readonly StoreOperation['kind'][];
  /** Delay of each response in the mode `slow`. */
  readonly slowMs?: number;
}

/** Stand-in for the platform's service over HTTP, with fault injection. */
export class PlatformStandin {
  readonly platform: MemoryPlatform;
  private readonly service = new HttpService((request, response) =>
    this.handle(request, response),
  );
  private fault: PlatformFault = {mode: 'none'};
  private faultUntilMs = Infinity;
  private timer?: NodeJS.Timeout;

  constructor(options: PlatformOptions = {}) {
    this.platform = new MemoryPlatform(options.weightTokensPerSecond);
    this.platform.setVms(options.vms ?? []);
  }

  get address(): string {
    return this.service.address;
  }

  async listen(port = 0): Promise<void> {
    await this.service.listen(port);
    this.timer = setInterval(
      () => this.platform.advance(Date.now()),
      EXPIRY_CHECK_MS,
    );
  }

  /** Sets the fault for later calls. */
  setFault(fault: PlatformFault): void {
    this.fault = fault;
    this.faultUntilMs = Date.now() + (fault.forMs ?? Infinity);
  }

  async close(): Promise<void> {
    clearInterval(this.timer);
    this.service.destroy();
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform');
    if (url.pathname.startsWith('/v1/')) {
      this.perform(await readJson<StoreOperation>(request), response);
      return;
    }
    switch (`${request.method} ${url.pathname}`) {
      case 'POST /standin/vms':
        this.platform.setVms(await readJson<VmRecord[]>(request));
        return sendJson(response, 200, {});
      case 'POST /standin/fault':
        this.setFault(await readJson<PlatformFault>(request));
        return sendJson(response, 200, {});
      case 'GET /standin/entries': {
        const prefix = url.searchParams.get('prefix') ?? '';
        return sendJson(response, 200, this.platform.list(prefix));
      }
      case 'GET /standin/calls':
        return sendJson(response, 200, Object.fromEntries(this.platform.calls));
      default:
        return sendJson(response, 404, {});
    }
  }

  private perform(operation: StoreOperation, response: ServerResponse): void {
    const fault = this.resolveFault(operation);
    if (fault.mode === 'down') {
      sendJson(response, 503, {kind: 'unavailable'});
      return;
    }
    this.platform.call(operation, Date.now(), outcome => {
      this.answer(response, outcome, fault);
    });
  }

  private answer(
    response: ServerResponse,
    outcome: StoreOutcome,
    fault: PlatformFault,
  ): void {
    if (fault.mode === 'lose-answers') {
      response.destroy();
      return;
    }
    const send = () => sendJson(response, 200, outcome);
    if (fault.mode === 'slow') {
      setTimeout(send, fault.slowMs ?? DEFAULT_SLOW_MS).unref();
    } else {
      send();
    }
  }

  private resolveFault(operation: StoreOperation): PlatformFault {
    const {kinds} = this.fault;
    const isExpired = Date.now() >= this.faultUntilMs;
    const isExempt = kinds !== undefined && !kinds.includes(operation.kind);
    return isExpired || isExempt ? {mode: 'none'} : this.fault;
  }
}
