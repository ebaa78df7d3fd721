import type {DomainId, ServiceName, VmId, ZoneId} from '../core/ids/index.js';
import type {VmRecord} from '../core/store/types.js';
import {ApplicationStandin, EngineStandin} from '../standins/index.js';
import {makeId} from '../core/ids/index.js';

const ENGINES_PER_ZONE = 4;
const APPLICATIONS = 2;
const ACCELERATORS_PER_VM = 4;
const APPLICATION_SERVICE = 'orders';

const ENGINE = {
  checksFencing: true,
  slots: 8,
  tokensPerSecond: 150,
  prefillTokensPerSecond: 5000,
  loadMs: 300,
  cacheBlocks: 1024,
} as const;

/** The target VMs of the development deployment: engines in fabric domains, and an application. */
export class DevTargets {
  readonly engines = new Map<VmId, EngineStandin>();
  readonly applications = new Map<VmId, ApplicationStandin>();
  private records: VmRecord[] = [];

  /** Starts one fabric domain of engines per zone, and the VMs of the application. */
  async start(zones: readonly string[]): Promise<void> {
    for (const zone of zones) {
      for (let at = 1; at <= ENGINES_PER_ZONE; at++) {
        await this.startEngine(zone, at);
      }
    }
    for (let at = 1; at <= APPLICATIONS; at++) {
      await this.startApplication(zones[at % zones.length]!, at);
    }
  }

  /** Returns the records of all VMs that have not been removed. */
  listVms(): readonly VmRecord[] {
    return this.records;
  }

  /** Marks a VM as leaving; it accepts no new requests and finishes the running ones. */
  leave(vmId: VmId): void {
    this.engines.get(vmId)?.leave();
    this.records = this.records.map(record =>
      record.vmId === vmId ? {...record, state: 'leaving'} : record,
    );
  }

  /** Stops a VM and removes it from the list permanently. */
  remove(vmId: VmId): void {
    this.engines.get(vmId)?.kill();
    this.records = this.records.filter(record => record.vmId !== vmId);
  }

  /** Counts the runs of each order over all VMs of the application. */
  countRuns(): Map<string, number> {
    const runs = new Map<string, number>();
    for (const application of this.applications.values()) {
      for (const [name, count] of Object.entries(application.listRuns())) {
        runs.set(name, (runs.get(name) ?? 0) + count);
      }
    }
    return runs;
  }

  async close(): Promise<void> {
    const all = [...this.engines.values(), ...this.applications.values()];
    await Promise.all(all.map(one => one.close()));
  }

  private async startEngine(zone: string, at: number): Promise<void> {
    const vmId = makeId<VmId>(`${zone}-engine-${at}`);
    const engine = new EngineStandin({...ENGINE, vmId}, this.engines);
    await engine.listen();
    this.records.push({
      vmId,
      kind: 'engine',
      state: 'live',
      zone: makeId<ZoneId>(zone),
      domain: makeId<DomainId>(`${zone}-fabric`),
      address: engine.address,
      accelerators: ACCELERATORS_PER_VM,
      checksFencing: ENGINE.checksFencing,
    });
  }

  private async startApplication(zone: string, at: number): Promise<void> {
    const vmId = makeId<VmId>(`orders-${at}`);
    const service = makeId<ServiceName>(APPLICATION_SERVICE);
    const application = new ApplicationStandin({vmId, service});
    await application.listen();
    this.applications.set(vmId, application);
    this.records.push({
      vmId,
      kind: 'application',
      state: 'live',
      zone: makeId<ZoneId>(zone),
      address: application.address,
      accelerators: 0,
      checksFencing: false,
      application: service,
    });
  }
}
