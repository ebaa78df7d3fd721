import assert from 'node:assert/strict';
import type {EngineAssignment} from '../../src/core/targets/types.js';
import type {FleetEngine} from '../../src/replay/fleet/index.js';
import type {ReplicaId, VmId} from '../../src/core/ids/index.js';
import type {VirtualNode} from '../../src/replay/index.js';
import {FleetChecks} from './fleet_checks.js';
import {FleetWorld} from '../../src/replay/fleet/index.js';
import {makeId} from '../../src/core/ids/index.js';

interface StewardWorldOptions {
  /** Share of engines that check fencing tokens, in [0, 1]. */
  readonly fencingShare: number;
  readonly vmsPerDomain?: number;
  readonly domains?: number;
  readonly replicas?: number;
}

/** Time until all replicas serve. */
const FORMED_MS = 15_000;
const STEP_MS = 50;

/** Three nodes and domains whose replicas serve, with access to the steward of the first domain. */
export class StewardWorld extends FleetWorld {
  readonly checks: FleetChecks;

  constructor(options: StewardWorldOptions) {
    const {fencingShare, vmsPerDomain = 6, domains = 1, replicas = 1} = options;
    super({
      seed: 11,
      nodes: 3,
      domains,
      vmsPerDomain,
      fencingShare,
      services: [{name: 'feeding', replicas, vmsPerReplica: 2}],
    });
    this.checks = new FleetChecks(this);
    this.runChecked(FORMED_MS);
  }

  /** Runs for a time and checks the guarantees after each step of 50 ms. */
  runChecked(forMs: number, act: () => void = () => {}): void {
    this.watch(forMs, STEP_MS, () => {
      this.checks.checkNow();
      act();
    });
  }

  /** The running steward of the first domain, with the highest fencing token. Asserts that there is one. */
  get steward(): VirtualNode {
    const tokenOf = (node: VirtualNode) => {
      const stewardship = [...node.state.replicas.stewardships.values()].find(
        one => one.domain === 'domain-0' && one.phase === 'active',
      );
      return node.isRunning ? (stewardship?.fencingToken ?? 0) : 0;
    };
    const [first] = [...this.nodes].sort((a, b) => tokenOf(b) - tokenOf(a));
    assert.ok(tokenOf(first!) > 0, 'the first domain has an active steward');
    return first!;
  }

  get others(): VirtualNode[] {
    const {steward} = this;
    return this.nodes.filter(node => node !== steward);
  }

  engine(vmId: string): FleetEngine {
    return this.fleet.engines.get(makeId<VmId>(vmId))!;
  }

  /** Engines of the first replica, the leader first. */
  get members(): FleetEngine[] {
    const document = this.steward.state.replicas.documents
      .values()
      .next().value;
    const {vms, leader} = document!.replicas[0]!;
    return [...vms]
      .sort((a, b) => Number(b === leader) - Number(a === leader))
      .map(vmId => this.engine(vmId));
  }

  /** Assigns a spare engine to a replica that no document contains, so that its steward must release it. */
  strandEngine(): FleetEngine {
    const spare = [...this.fleet.engines.values()]
      .reverse()
      .find(engine => engine.phase === 'idle')!;
    const assignment = this.members[0]!.assignment!;
    const stray: EngineAssignment = {
      ...assignment,
      replicaId: makeId<ReplicaId>('stray'),
      vms: [spare.record.vmId],
      leader: spare.record.vmId,
    };
    spare.assignment = stray;
    spare.phase = 'ready';
    return spare;
  }
}
