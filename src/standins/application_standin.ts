import {randomBytes} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {EngineReport} from '../core/targets/types.js';
import type {ServiceName, VmId} from '../core/ids/index.js';
import {HttpService} from './http_service.js';
import {readJson} from './read_json.js';
import {sendJson} from './send_json.js';

const DEFAULT_SLOTS = 16;
const CALLS_PER_SECOND = 100;

interface ApplicationOptions {
  readonly vmId: VmId;
  readonly service: ServiceName;
  readonly slots?: number;
}

interface ApplicationFault {
  /** `hang`, `truncate` and `reset` fail after the call was counted as run; `error` fails before. */
  readonly mode: 'none' | 'error' | 'hang' | 'truncate' | 'reset';
  /** Number of calls affected; absent: all until the next fault is set. */
  readonly count?: number;
}

/** Stand-in for an application service on one VM; counts how often each call ran. */
export class ApplicationStandin {
  private readonly service = new HttpService((request, response) =>
    this.handle(request, response),
  );
  private readonly bootId = randomBytes(6).toString('hex');
  private readonly runs = new Map<string, number>();
  private fault: ApplicationFault = {mode: 'none'};
  private remainingFaults = 0;
  private leaving = false;
  private running = 0;
  private sequence = 0;

  constructor(private readonly options: ApplicationOptions) {}

  get address(): string {
    return this.service.address;
  }

  async listen(port = 0): Promise<void> {
    await this.service.listen(port);
  }

  /** Sets the fault for later calls. */
  setFault(fault: ApplicationFault): void {
    this.fault = fault;
    this.remainingFaults = fault.count ?? Infinity;
  }

  /** Returns how often each call ran, by `<method> <path> <idempotency key>`. */
  listRuns(): Record<string, number> {
    return Object.fromEntries(this.runs);
  }

  async close(): Promise<void> {
    this.service.destroy();
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://application');
    switch (`${request.method} ${url.pathname}`) {
      case 'GET /control/report':
        return sendJson(response, 200, this.report());
      case 'GET /standin/runs':
        return sendJson(response, 200, this.listRuns());
      case 'POST /standin/fault':
        this.setFault(await readJson<ApplicationFault>(request));
        return sendJson(response, 200, {});
      case 'POST /standin/leave':
        this.leaving = true;
        return sendJson(response, 200, {});
      case 'POST /standin/die':
        return this.service.destroy();
      default:
        return this.serve(url, request, response);
    }
  }

  private report(): EngineReport {
    this.sequence += 1;
    return {
      vmId: this.options.vmId,
      bootId: this.bootId,
      sequence: this.sequence,
      state: this.leaving ? 'leaving' : 'ready',
      slots: this.options.slots ?? DEFAULT_SLOTS,
      running: this.running,
      queued: 0,
      tokensPerSecond: CALLS_PER_SECOND,
    };
  }

  private async serve(
    url: URL,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (this.leaving) {
      const headers = {'x-not-run': 'true', 'x-target-state': 'leaving'};
      return sendJson(response, 503, {error: 'leaving'}, headers);
    }
    const mode = this.consumeFault();
    if (mode === 'error') return sendJson(response, 500, {error: 'failed'});
    const key = request.headers['idempotency-key'] ?? '';
    const name = `${request.method} ${url.pathname} ${key}`;
    const run = (this.runs.get(name) ?? 0) + 1;
    this.runs.set(name, run);
    if (mode === 'hang') return;
    if (mode === 'reset') return void response.destroy();
    this.running += 1;
    response.on('close', () => (this.running -= 1));
    const body = {
      service: this.options.service,
      vm: this.options.vmId,
      path: url.pathname,
      run,
      receivedBytes: Buffer.concat(chunks).length,
    };
    const delayMs = Number(url.searchParams.get('delayMs') ?? 0);
    const send = () => sendResponse(response, body, mode === 'truncate');
    if (delayMs > 0) setTimeout(send, delayMs);
    else send();
  }

  private consumeFault(): ApplicationFault['mode'] {
    if (this.remainingFaults <= 0) return 'none';
    this.remainingFaults -= 1;
    return this.fault.mode;
  }
}

function sendResponse(
  response: ServerResponse,
  body: unknown,
  truncated: boolean,
): void {
  if (!truncated) return sendJson(response, 200, body);
  const text = JSON.stringify(body);
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': text.length,
  });
  response.write(text.slice(0, text.length / 2), () => response.destroy());
}
