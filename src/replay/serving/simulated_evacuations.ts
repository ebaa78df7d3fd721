import type {ServingEvent} from '../../core/serving/types.js';
import type {WorldNode} from './types.js';
import type {ZoneId} from '../../core/ids/index.js';
import {makeId} from '../../core/ids/index.js';
import {needsConfigWatch} from '../../core/serving/index.js';
import {storeVersion} from '../../core/store/index.js';

const CHECK_INTERVAL_MS = 50;
/** How long the store holds a watch call open, as in the runtime. */
const WATCH_HOLD_MS = 1500;

interface EvacuationOptions {
  readonly nodes: readonly WorldNode[];
  nowMs(): number;
  after(delayMs: number, run: () => void): void;
  dispatch(node: WorldNode, event: ServingEvent): void;
}

/** Simulated store entries of evacuated zones, read by the nodes that watch the operator's entries. */
export class SimulatedEvacuations {
  /** The store answers no calls. */
  isUnavailable = false;
  /** Watch calls and lists that were answered. */
  callCount = 0;
  private era = 0;
  private revision = 1;
  private zones = new Set<ZoneId>();
  /** End of the last answered call of each node, and the revision that it has read. */
  private readonly reads = new Map<
    WorldNode['state'],
    {atMs: number; version: number}
  >();

  constructor(private readonly options: EvacuationOptions) {
    this.poll();
  }

  evacuate(...zones: readonly string[]): void {
    this.revision += 1;
    for (const zone of zones) this.zones.add(makeId<ZoneId>(zone));
  }

  returnToService(zone: string): void {
    this.revision += 1;
    this.zones.delete(makeId<ZoneId>(zone));
  }

  /** Restores the store from a backup that holds these zones as evacuated. */
  restore(...zones: readonly string[]): void {
    this.era += 1;
    this.zones = new Set(zones.map(zone => makeId<ZoneId>(zone)));
  }

  private poll(): void {
    const {after, nodes} = this.options;
    if (!this.isUnavailable) {
      for (const node of nodes) this.read(node);
    }
    after(CHECK_INTERVAL_MS, () => this.poll());
  }

  private read(node: WorldNode): void {
    const {nowMs, dispatch} = this.options;
    const {state} = node;
    if (!node.isUp || !needsConfigWatch(state, nowMs())) return;
    const version = storeVersion.make(this.era, this.revision)!;
    const last = this.reads.get(state);
    const isHeld = last && nowMs() - last.atMs < WATCH_HOLD_MS;
    if (isHeld && last.version === version) return;
    this.reads.set(state, {atMs: nowMs(), version});
    this.callCount += 1;
    dispatch(node, {type: 'storeEraRead', era: this.era});
    dispatch(node, {
      type: 'evacuationRead',
      storeVersion: version,
      zones: [...this.zones],
      provenAtMs: nowMs(),
    });
  }
}
