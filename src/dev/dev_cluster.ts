import {randomUUID} from 'node:crypto';
import type {ConfigFile} from '../core/config/files/index.js';
import type {PublishAnswer} from '../core/operators/types.js';
import type {RunningNode} from '../runtime/types.js';
import type {Settings} from '../settings/types.js';
import type {VmRecord} from '../core/store/types.js';
import {DEV_FILES} from './dev_files.js';
import {DEV_SECRETS} from './dev_secrets.js';
import {DevTargets} from './dev_targets.js';
import {OperatorClient} from '../operators/index.js';
import {PlatformStandin} from '../standins/index.js';
import {createDevSettings} from './create_dev_settings.js';
import {createNode} from '../runtime/index.js';
import {findFreePorts} from './find_free_ports.js';
import {waitUntil} from './wait_until.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const START_TIMEOUT_MS = 30_000;
const DRAIN_TIMEOUT_MS = 10_000;

interface DevNode {
  readonly settings: Settings;
  readonly node: RunningNode;
  isLost: boolean;
}

interface DevOptions {
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
  readonly files?: readonly ConfigFile[];
}

/** A complete deployment in one process: platform, engines, an application and three nodes. */
export class DevCluster {
  readonly nodes: DevNode[] = [];
  readonly targets = new DevTargets();
  private readonly platform = new PlatformStandin();

  private constructor(private readonly options: DevOptions) {}

  /** Starts all parts, publishes the configuration and waits until every service has targets. */
  static async start(options: DevOptions): Promise<DevCluster> {
    const cluster = new DevCluster(options);
    try {
      await cluster.startParts();
    } catch (error) {
      await cluster.close();
      throw error;
    }
    return cluster;
  }

  /** Replaces the platform's list of VMs. */
  setVms(vms: readonly VmRecord[]): void {
    this.platform.platform.setVms(vms);
  }

  /**
   * Destroys the sockets of the busiest node without a drain, like the loss of
   * its VM; returns its node id.
   */
  loseBusiestNode(): string {
    const remaining = this.nodes.filter(one => !one.isLost);
    remaining.sort((a, b) => countRequests(b) - countRequests(a));
    const lost = remaining[0]!;
    lost.isLost = true;
    lost.node.destroy();
    return lost.settings.node.nodeId;
  }

  /** Drains the remaining nodes, then stops the stand-ins. */
  async close(): Promise<void> {
    const remaining = this.nodes.filter(one => !one.isLost);
    for (const {node} of remaining) node.drain('the embedded default ends');
    const timeout = new Promise(resolve => {
      setTimeout(resolve, DRAIN_TIMEOUT_MS).unref();
    });
    await Promise.race([
      Promise.all(remaining.map(one => one.node.ended)),
      timeout,
    ]);
    await this.targets.close();
    await this.platform.close();
  }

  private async startParts(): Promise<void> {
    await this.targets.start(ZONES);
    await this.platform.listen();
    this.setVms(this.targets.listVms());
    await this.startNodes();
    await waitUntil(
      'reading the configuration on every node',
      START_TIMEOUT_MS,
      () => this.nodes.every(({node}) => !node.state.config.isCatchingUp),
    );
    await this.publish(this.options.files ?? DEV_FILES);
    await waitUntil('targets for every service', START_TIMEOUT_MS, () =>
      this.nodes.every(({node}) => hasAllTargets(node)),
    );
  }

  private async startNodes(): Promise<void> {
    const ports = await findFreePorts(2 * ZONES.length);
    for (const [at, zone] of ZONES.entries()) {
      const settings = createDevSettings({
        name: `node-${at + 1}`,
        zone,
        callerPort: ports[2 * at]!,
        controlPort: ports[2 * at + 1]!,
        platformAddress: this.platform.address,
        logLevel: this.options.logLevel,
      });
      const node = await createNode(settings);
      this.nodes.push({settings, node, isLost: false});
    }
  }

  private async publish(files: readonly ConfigFile[]): Promise<void> {
    const client = new OperatorClient({
      address: this.nodes[0]!.settings.node.controlAddress,
      token: DEV_SECRETS.operatorToken,
      operator: 'dev',
    });
    const answer = await client.ask<PublishAnswer>({
      kind: 'publish',
      publicationId: randomUUID(),
      files,
      prune: false,
    });
    if (answer.isErr()) {
      throw new Error(`publish failed: ${JSON.stringify(answer.error)}`);
    }
  }
}

function countRequests({node}: DevNode): number {
  return node.state.requests.byId.size;
}

function hasAllTargets({state}: RunningNode): boolean {
  const services = [...state.config.document.services.values()];
  if (services.length === 0) return false;
  return services.every(service => {
    const ids = [...(state.targets.byService.get(service.name) ?? [])];
    const available = ids.filter(id => !state.targets.byId.get(id)?.bar);
    const required = service.kind === 'model' ? service.replicas : 1;
    return available.length >= required;
  });
}
