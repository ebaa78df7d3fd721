import type {NodeState, SelfState} from '../core/state/types.js';
import type {UndatedEvent} from '../core/events/types.js';
import type {VirtualWorld} from './virtual_world.js';
import {createNodeState} from '../core/state/index.js';
import {reduce} from '../core/reduce.js';

const TICK_MS = 50;

/** The core of one node, driven in virtual time. */
export class VirtualNode {
  readonly state: NodeState;
  private phase: 'running' | 'frozen' | 'dead' = 'running';
  private readonly queuedEvents: UndatedEvent[] = [];

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

  /** Applies an event now, after the thaw on a frozen node, and never on a killed one. */
  dispatch(event: UndatedEvent): void {
    if (this.phase === 'dead') return;
    if (this.phase === 'frozen') {
      this.queuedEvents.push(event);
      return;
    }
    const {nowMs} = this.world.time;
    for (const effect of reduce(this.state, {...event, nowMs})) {
      this.world.perform(this, effect);
    }
  }

  /** Suspends the process, which cannot observe it; events are queued. */
  freeze(): void {
    if (this.phase === 'running') this.phase = 'frozen';
  }

  /** Resumes a frozen process and applies the queued events at the current time. */
  thaw(): void {
    if (this.phase !== 'frozen') return;
    this.phase = 'running';
    for (const event of this.queuedEvents.splice(0)) this.dispatch(event);
  }

  /** Ends the process permanently. */
  kill(): void {
    this.phase = 'dead';
    this.queuedEvents.length = 0;
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
