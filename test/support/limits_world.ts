import assert from 'node:assert/strict';
import {readdirSync} from 'node:fs';
import type {RawResponder} from './raw_engine.js';
import {KvStandin} from './kv_standin.js';
import {NodeProcess} from './node_process.js';
import {RawEngine} from './raw_engine.js';
import {callHttp} from './call_http.js';
import {withProbes} from './with_probes.js';

const MB = 1_000_000;
/** The smallest machine that runs a node; a process above its memory is killed. */
const MACHINE = {'memory-mb': 202, 'max-fds': 2069};
const KEY = 'secret-key';
const CALL_TIMEOUT_MS = 10_000;
const SAMPLE_MS = 50;
const MAX_CONNECTIONS = 10_000;

interface LimitsWorldOptions {
  /** Fields of the settings file. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Fields of `limits` in the settings file; those of the smallest machine by default. */
  readonly machine?: Partial<typeof MACHINE>;
  /** What the engine of the service `odd` answers. */
  readonly odd?: RawResponder;
}

/** The deployed program before a crowd of clients that exceed the limits, with checks of its memory and descriptors. */
export class LimitsWorld {
  node!: NodeProcess;
  readonly store = new KvStandin();
  /** Peaks at the last check. */
  figures = '';
  private readonly engines: RawEngine[] = [];
  private timer?: NodeJS.Timeout;
  private peakDescriptors = 0;
  private count = 0;
  private machine = MACHINE;

  static async start(options: LimitsWorldOptions = {}): Promise<LimitsWorld> {
    const world = new LimitsWorld();
    await world.open(options);
    return world;
  }

  get ready(): string {
    return this.addressAt(1);
  }

  get directory(): string {
    return this.addressAt(2);
  }

  get documents(): string {
    return this.addressAt(4);
  }

  get forwards(): string {
    return this.addressAt(6);
  }

  get metrics(): string {
    return `${this.node.front.split(':')[0]}:9464`;
  }

  /** The head of a caller's request, without its framing and the last line end. */
  headOf(service: string, type = 'safe', method = 'POST'): string {
    this.count += 1;
    return (
      `${method} /${service}/${type}/x HTTP/1.1\r\nHost: desk.example\r\n` +
      `X-Attempt-Id: crowd-${this.count}\r\nX-Deadline-Ms: ${CALL_TIMEOUT_MS}\r\n` +
      `Authorization: Bearer ${KEY}\r\n`
    );
  }

  /** Sends an ordinary request on a connection of its own. */
  call(
    body = 'body',
    headers: Readonly<Record<string, string>> = {},
  ): ReturnType<typeof callHttp> {
    this.count += 1;
    return callHttp(`http://${this.node.front}/sound/safe/x`, {
      method: 'POST',
      body,
      headers: {
        host: 'desk.example',
        'x-attempt-id': `attempt-${this.count}`,
        'x-deadline-ms': String(CALL_TIMEOUT_MS),
        authorization: `Bearer ${KEY}`,
        ...headers,
      },
    });
  }

  /** Checks that one ordinary request is answered at the callers' and the readiness listener. */
  async assertAnswers(): Promise<void> {
    this.assertWithinMachine();
    const ready = await callHttp(`http://${this.ready}/readyz`);
    assert.equal(ready.status, 200);
    const answer = await this.call();
    assert.equal(answer.status, 200);
    assert.equal(answer.body, 'hello');
    this.assertWithinMachine();
  }

  /** Checks that the process lives within the memory and the descriptors of its machine. */
  assertWithinMachine(): void {
    assert.equal(this.node.hasExited, false, this.node.output.slice(-2000));
    const peakMb = this.node.readPeakMemoryBytes() / MB;
    this.sampleDescriptors();
    this.figures = `${Math.round(peakMb)} MB, ${this.peakDescriptors} descriptors`;
    assert.ok(peakMb < this.machine['memory-mb'], this.figures);
    assert.ok(this.peakDescriptors < this.machine['max-fds'], this.figures);
  }

  async close(): Promise<void> {
    clearInterval(this.timer);
    await this.node.kill();
    for (const engine of this.engines) engine.close();
    this.store.close();
  }

  private addressAt(index: number): string {
    const host = this.node.front.split(':')[0];
    return `${host}:${this.node.ports[index]}`;
  }

  private sampleDescriptors(): void {
    if (this.node.hasExited) return;
    const {length} = readdirSync(`/proc/${this.node.pid}/fd`);
    this.peakDescriptors = Math.max(this.peakDescriptors, length);
  }

  private async open(options: LimitsWorldOptions): Promise<void> {
    const {settings, machine, odd = answerHello} = options;
    this.machine = {...MACHINE, ...machine};
    const storeAddress = await this.store.listen();
    const responders = {sound: answerHello, odd};
    this.putConfig(Object.keys(responders));
    for (const [service, respond] of Object.entries(responders)) {
      const engine = new RawEngine(withProbes(respond));
      this.engines.push(engine);
      this.store.put(`servers/i-${service}`, {
        service,
        address: await engine.listen(),
        zone: 'zone-a',
        version: 'v1',
        slots: MAX_CONNECTIONS,
        state: 'ready',
        born: 1000,
        sequence: 1,
      });
    }
    this.node = await NodeProcess.start(storeAddress, {
      settings: {limits: this.machine, ...settings},
    });
    this.timer = setInterval(() => {
      try {
        this.sampleDescriptors();
      } catch {
        clearInterval(this.timer); // the process has ended, which the checks report
      }
    }, SAMPLE_MS);
  }

  private putConfig(services: readonly string[]): void {
    this.store.put('op/config', {
      version: 1,
      routes: services.flatMap(service =>
        ['safe', 'unsafe', 'streaming'].map(type => ({
          name: `${service}-${type}`,
          host: 'desk.example',
          'path-prefix': `/${service}/${type}/`,
          type,
          'timeout-ms': CALL_TIMEOUT_MS,
          'latency-goal-ms': 300,
          priority: 1,
          service,
          'max-attempts': 2,
          anonymous: false,
          resumable: type === 'streaming',
        })),
      ),
      services: services.map(name => ({
        name,
        'health-path': '/healthz',
        'max-conns': MAX_CONNECTIONS,
      })),
      limits: {
        'max-header-bytes': 16_384,
        'max-body-bytes': 4_194_304,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15_000,
      },
      tenants: [{name: 'stable', 'api-keys': [KEY]}],
    });
  }
}

const answerHello: RawResponder = (socket, request) => {
  const id = /x-attempt-id: (.*)\r\n/i.exec(request)?.[1];
  socket.write(
    `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Response-Signature: s\r\nContent-Length: 5\r\n\r\nhello`,
  );
};
