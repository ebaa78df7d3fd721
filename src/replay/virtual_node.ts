import type {NodeState, SelfState} from '../core/state/types.js';
import type {UndatedEvent} from '../core/events/types.js';
import type {VirtualWorld} from './virtual_world.js';
import {createNodeState} from '../core/state/index.js';
import {reduce} from '../core/reduce.js';

const TICK_MS = 50;

/** One node's core, driven in virtual time. */
export class VirtualNode {
  readonly state: NodeState;
  private phase: 'running' | 'frozen' | 'dead' = 'running';
  private readonly held: UndatedEvent[] = [];

  constructor(
    private readonly world: VirtualWorld,
    self: SelfState,
    private readonly seed: number,
  ) {
    this.state = createNodeState(self, seed);
  }

  /** Sends the first event and starts ticking. */
  start(): void {
    this.dispatch({type: 'started', seed: this.seed});
    this.tick();
  }

  /** Applies an event now; a frozen node gets it when it continues, a dead one never. */
  dispatch(event: UndatedEvent): void {
    if (this.phase === 'dead') return;
    if (this.phase === 'frozen') {
      this.held.push(event);
      return;
    }
    const {nowMs} = this.world.time;
    for (const effect of reduce(this.state, {...event, nowMs})) {
      this.world.perform(this, effect);
    }
  }

  /** Stops the process without its knowledge. */
  freeze(): void {
    if (this.phase === 'running') this.phase = 'frozen';
  }

  /** Continues a frozen process: what arrived meanwhile is applied late. */
  thaw(): void {
    if (this.phase !== 'frozen') return;
    this.phase = 'running';
    for (const event of this.held.splice(0)) this.dispatch(event);
  }

  /** Ends the process for good. */
  kill(): void {
    this.phase = 'dead';
    this.held.length = 0;
  }

  get isAlive(): boolean {
    return this.phase !== 'dead';
  }

  get isRunning(): boolean {
    return this.phase === 'running';
  }

  private tick(): void {
    if (this.phase === 'dead') return;
    if (this.phase === 'running') this.dispatch({type: 'tick'});
    this.world.time.after(TICK_MS, () => this.tick());
  }
}
