import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {TestProcess} from './test_process.js';
import {findUnusedPorts} from './find_unused_ports.js';
import {get} from 'node:http';
import {waitFor} from './wait_for.js';

/** Heap limit of the deployed node, as in `deploy/system.toml`. */
const HEAP_MB = 160;
const KIB = 1024;
/** The port of the metrics is fixed, so that nodes of tests that run side by side need addresses of their own. */
const OWN_HOST = `127.${1 + (process.pid % 250)}.0.1`;
/** Front, readiness and directory, two internal ones, and one that is unused. */
const PORT_COUNT = 6;

interface NodeProcessOptions {
  readonly nodeId?: string;
  /** Loopback address of all listeners; one of this test's process by default. */
  readonly host?: string;
  /** Those of all nodes of a fleet are the same. */
  readonly ports?: readonly number[];
  /** The store has been in use before. */
  readonly isLaterStart?: boolean;
  /** Program below `dist/`; the deployed one by default. */
  readonly script?: string;
  readonly environment?: Readonly<Record<string, string>>;
  /** Further fields of the settings file. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

/** The deployed program as a process of its own, in front of a stand-in of the store. */
export class NodeProcess {
  private constructor(
    readonly nodeId: string,
    readonly front: string,
    /** UDP address for digests. */
    readonly peers: string,
    /** In the order of `AdapterNode`. */
    readonly ports: readonly number[],
    private readonly process: TestProcess,
    private readonly folder: string,
  ) {}

  /** Starts the program and waits until it is ready. */
  static async start(
    storeAddress: string,
    options: NodeProcessOptions = {},
  ): Promise<NodeProcess> {
    const {
      nodeId = 'edge-1',
      host = OWN_HOST,
      script = 'platform/main.js',
    } = options;
    const ports = options.ports ?? (await findUnusedPorts(PORT_COUNT));
    const [front, ready, directory] = ports.map(port => `${host}:${port}`);
    const folder = mkdtempSync(join(tmpdir(), 'node-process-'));
    const path = join(folder, 'node.json');
    const internalPort = ports[3]!;
    writeFileSync(
      path,
      JSON.stringify({
        'node-name': nodeId,
        zone: 'zone-a',
        ip: host,
        listen: {front, ready, directory},
        'internal-ports': [internalPort, internalPort + 15],
        bootstrap: options.isLaterStart !== true,
        bounds: {
          'grace-s': 8,
          'retry-budget-ratio': 0.2,
          'retry-slack': 300,
          'budget-window-s': 10,
        },
        platform: {address: storeAddress},
        ...options.settings,
      }),
    );
    const process = new TestProcess(script, [], {
      nodeOptions: [`--max-old-space-size=${HEAP_MB}`],
      environment: {...options.environment, RHUBARBSTILE_NODE_FILE: path},
    });
    const node = new NodeProcess(
      nodeId,
      front!,
      `${host}:${internalPort}`,
      [...ports.slice(0, 4), internalPort, ports[5]!, internalPort + 1],
      process,
      folder,
    );
    await waitFor('a ready node', () => isReady(ready!));
    return node;
  }

  get hasExited(): boolean {
    return this.process.exitCode !== null;
  }

  get pid(): number {
    return this.process.pid;
  }

  get exitCode(): number | null {
    return this.process.exitCode;
  }

  get output(): string {
    return this.process.output;
  }

  /** Largest resident memory of the process so far, in bytes. */
  readPeakMemoryBytes(): number {
    const status = readFileSync(`/proc/${this.process.pid}/status`, 'utf8');
    const found = /VmHWM:\s+(\d+) kB/.exec(status);
    if (!found)
      throw new Error(`the node has ended: ${this.output.slice(-900)}`);
    return Number(found[1]) * KIB;
  }

  signal(name: NodeJS.Signals): void {
    this.process.signal(name);
  }

  /** Settles when the process has ended by itself. */
  get ended(): Promise<void> {
    return this.process.ended;
  }

  async kill(): Promise<void> {
    await this.process.kill();
    rmSync(this.folder, {recursive: true, force: true});
  }
}

function isReady(address: string): Promise<boolean> {
  return new Promise(resolve => {
    get(`http://${address}/readyz`, response => {
      response.resume();
      resolve(response.statusCode === 200);
    }).on('error', () => resolve(false));
  });
}
