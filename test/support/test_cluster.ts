import {join} from 'node:path';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {callHttp} from './call_http.js';
import {
  SECRETS,
  SERVICE_FILES,
  formatNodeSettings,
  writeFiles,
} from './cluster_files.js';
import {FaultProxy} from './fault_proxy.js';
import {TestProcess} from './test_process.js';
import {findUnusedPorts} from './find_unused_ports.js';
import {waitFor} from './wait_for.js';

interface ClusterOptions {
  readonly nodes?: number;
  /** Number of engine VMs, each in its own process. */
  readonly engines?: number;
  readonly enginesPerDomain?: number;
  readonly checksFencing?: boolean;
  readonly tokensPerSecond?: number;
  /** Configuration files to publish at the start. */
  readonly files?: Readonly<Record<string, string>>;
  /** Additional settings of every node, by section. */
  readonly settings?: Readonly<Record<string, readonly string[]>>;
}

interface ClusterNode {
  readonly name: string;
  readonly settingsPath: string;
  readonly callerUrl: string;
  readonly controlUrl: string;
  /** Proxy between this node and the platform. */
  readonly platform: FaultProxy;
  process: TestProcess;
}

interface ClusterVm {
  readonly vmId: string;
  readonly kind: 'engine' | 'application';
  /** URL of the VM itself, without its proxy. */
  readonly url: string;
  readonly port: number;
  /** Proxy between nodes and this VM; the VM list contains its address. */
  readonly proxy: FaultProxy;
  process: TestProcess;
}

const ZONES = ['a', 'b', 'c'] as const;
const CLI = 'src/cli/main.js';
const STANDINS = 'src/standins/main.js';
const START_LIMIT_MS = 30_000;

/** A complete deployment on loopback: platform, engines, an application and nodes, each as a process. */
export class TestCluster {
  readonly nodes: ClusterNode[] = [];
  readonly vms: ClusterVm[] = [];
  platformUrl = '';
  private readonly processes = new Set<TestProcess>();
  private readonly proxies = new Set<FaultProxy>();

  private constructor(
    private readonly options: ClusterOptions,
    private readonly folder: string,
  ) {}

  /**
   * Starts a cluster, publishes its files and waits until every node is ready.
   * Rejects with the output of all processes when that fails.
   */
  static async start(options: ClusterOptions = {}): Promise<TestCluster> {
    const folder = await mkdtemp(join(tmpdir(), 'rhubarbstile-'));
    const cluster = new TestCluster(options, folder);
    try {
      await cluster.startAll();
    } catch (error) {
      const output = cluster.collectOutput();
      await cluster.close();
      throw new Error(`cluster did not start:\n${output}`, {cause: error});
    }
    return cluster;
  }

  /** Stops all processes and proxies of the cluster and removes its folder. */
  async close(): Promise<void> {
    await Promise.all([...this.processes].map(one => one.kill()));
    await Promise.all([...this.proxies].map(one => one.close()));
    await rm(this.folder, {recursive: true, force: true});
  }

  /** Runs the command line and waits for its exit. */
  async runCli(args: readonly string[]): Promise<TestProcess> {
    const process = this.launch(CLI, args);
    await process.ended;
    return process;
  }

  /** Publishes files through a node; rejects with the output of the command when it fails. */
  async publish(
    files: Readonly<Record<string, string>>,
    node = this.nodes[0]!,
  ): Promise<void> {
    const folder = await mkdtemp(join(this.folder, 'publish-'));
    await writeFiles(folder, files);
    const process = await this.runCli([
      'publish',
      folder,
      ...this.operatorFlags(node),
    ]);
    if (process.exitCode !== 0) throw new Error(process.output);
  }

  /** Returns the command-line flags for the address of a node and the operator token. */
  operatorFlags(node = this.nodes[0]!): string[] {
    const address = node.controlUrl.replace('http://', '');
    return ['--node', address, '--token', SECRETS.operatorToken];
  }

  /** Sends an operator request to a node; rejects with the body of a response other than 200. */
  async callOperator(
    kind: string,
    node = this.nodes[0]!,
    body: object = {},
  ): Promise<unknown> {
    const answer = await callHttp(`${node.controlUrl}/operator/${kind}`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${SECRETS.operatorToken}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify(body),
    });
    if (answer.status !== 200) throw new Error(answer.body);
    return JSON.parse(answer.body);
  }

  /** Restarts a node as a new incarnation with the same name and addresses. */
  restartNode(node: ClusterNode): void {
    node.process = this.launch(CLI, ['node', '--settings', node.settingsPath]);
  }

  /** Calls a control endpoint of a stand-in and returns the response body. */
  async callStandin(
    url: string,
    action: string,
    body: object = {},
  ): Promise<string> {
    const answer = await callHttp(`${url}/standin/${action}`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
    });
    return answer.body;
  }

  /** Returns the end of the output of every process. */
  collectOutput(): string {
    const tail = 3000;
    return [...this.processes].map(p => p.output.slice(-tail)).join('\n---\n');
  }

  private async startAll(): Promise<void> {
    const {nodes = 3, engines = 2} = this.options;
    const ports = await findUnusedPorts(2 * nodes + engines + 2);
    const platformPort = ports.pop()!;
    const applicationPort = ports.pop()!;
    for (let at = 0; at < engines; at++) {
      await this.startEngine(`e${at}`, ports.pop()!);
    }
    await this.startApplication('app0', applicationPort);
    await this.startPlatform(platformPort);
    for (let at = 0; at < nodes; at++) {
      await this.startNode(at, platformPort, ports.pop()!, ports.pop()!);
    }
    await this.waitForNodes('/healthz');
    // A node refuses publications until it has read the store once.
    await waitFor('the first publication', async () => {
      await this.publish(this.options.files ?? SERVICE_FILES);
      return true;
    });
    await this.waitForNodes('/readyz');
  }

  private async startEngine(vmId: string, port: number): Promise<void> {
    const {checksFencing = true, tokensPerSecond = 200} = this.options;
    const process = this.launch(STANDINS, [
      'engine',
      `--vm=${vmId}:${port}`,
      `--tokens-per-second=${tokensPerSecond}`,
      '--load-ms=100',
      ...(checksFencing ? ['--checks-fencing'] : []),
    ]);
    await this.addVm(vmId, 'engine', port, process);
  }

  private async startApplication(vmId: string, port: number): Promise<void> {
    const process = this.launch(STANDINS, [
      'application',
      `--port=${port}`,
      `--vm=${vmId}`,
      '--service=orders',
    ]);
    await this.addVm(vmId, 'application', port, process);
  }

  private async addVm(
    vmId: string,
    kind: ClusterVm['kind'],
    port: number,
    process: TestProcess,
  ): Promise<void> {
    const proxy = await this.openProxy(port);
    const url = `http://127.0.0.1:${port}`;
    this.vms.push({vmId, kind, url, port, proxy, process});
  }

  private async startPlatform(port: number): Promise<void> {
    const vmsPath = join(this.folder, 'vms.json');
    await writeFile(vmsPath, JSON.stringify(this.vmRecords()));
    this.launch(STANDINS, ['platform', `--port=${port}`, `--vms=${vmsPath}`]);
    this.platformUrl = `http://127.0.0.1:${port}`;
  }

  /** Returns the VM list for the platform, with all VMs live. */
  vmRecords(): object[] {
    const {checksFencing = true, enginesPerDomain = 2} = this.options;
    return this.vms.map((vm, at) => ({
      vmId: vm.vmId,
      kind: vm.kind,
      state: 'live',
      zone: ZONES[at % ZONES.length],
      address: vm.proxy.address,
      accelerators: vm.kind === 'engine' ? 4 : 0,
      checksFencing,
      ...(vm.kind === 'engine'
        ? {domain: `d${Math.floor(at / enginesPerDomain)}`}
        : {application: 'orders'}),
    }));
  }

  private async startNode(
    at: number,
    platformPort: number,
    callerPort: number,
    controlPort: number,
  ): Promise<void> {
    const name = `n${at}`;
    const platform = await this.openProxy(platformPort);
    const settingsPath = join(this.folder, `${name}.ini`);
    const text = formatNodeSettings({
      name,
      zone: ZONES[at % ZONES.length]!,
      callerPort,
      controlPort,
      platformPort: platform.port,
      ...(this.options.settings && {extra: this.options.settings}),
    });
    await writeFile(settingsPath, text);
    this.nodes.push({
      name,
      settingsPath,
      platform,
      callerUrl: `http://127.0.0.1:${callerPort}`,
      controlUrl: `http://127.0.0.1:${controlPort}`,
      process: this.launch(CLI, ['node', '--settings', settingsPath]),
    });
  }

  private async waitForNodes(path: string): Promise<void> {
    for (const node of this.nodes) {
      const ready = waitFor(
        `${node.name}${path}`,
        async () => {
          const answer = await callHttp(`${node.callerUrl}${path}`);
          return answer.status === 200;
        },
        START_LIMIT_MS,
      );
      const ended = node.process.ended.then(() => {
        throw new Error(`${node.name} ended`);
      });
      await Promise.race([ready, ended]);
    }
  }

  private async openProxy(port: number): Promise<FaultProxy> {
    const proxy = await FaultProxy.start(port);
    this.proxies.add(proxy);
    return proxy;
  }

  private launch(script: string, args: readonly string[]): TestProcess {
    const process = new TestProcess(script, args);
    this.processes.add(process);
    return process;
  }
}
