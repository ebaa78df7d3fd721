import type {Effect, EffectOf} from '../core/effects/types.js';
import type {StoreOperation, StoreOutcome} from '../core/store/types.js';
import type {VirtualFake} from './virtual_fake.js';
import type {VirtualNode} from './virtual_node.js';
import type {VirtualWorld} from './virtual_world.js';
import {MemoryPlatform} from '../standins/memory_platform.js';

const EXPIRY_STEP_MS = 50;

/** Fault injected into one store call. */
type StoreFault = 'none' | 'unavailable' | 'lose-answer';

/** The platform's store in virtual time, with fault injection. */
export class VirtualStore implements VirtualFake {
  readonly types = ['store'] as const;
  /** One-way latency in milliseconds. */
  latencyMs = 1;
  /**
   * Chooses the fault for each call; with `lose-answer` a write takes effect
   * but its result is lost.
   */
  fault: (node: VirtualNode, operation: StoreOperation) => StoreFault = () =>
    'none';

  constructor(
    private readonly world: VirtualWorld,
    readonly platform = new MemoryPlatform(),
  ) {
    this.expireLeases();
  }

  handle(node: VirtualNode, effect: Effect): void {
    const call = effect as EffectOf<'store'>;
    const fault = this.fault(node, call.operation);
    if (fault === 'unavailable') {
      this.answer(node, call, {kind: 'unavailable'});
      return;
    }
    this.world.time.after(this.latencyMs, () => {
      this.platform.call(call.operation, this.world.time.nowMs, outcome => {
        if (fault === 'none') this.answer(node, call, outcome);
      });
    });
    if (fault !== 'lose-answer') return;
    this.world.time.after(call.timeoutMs, () => {
      this.answer(node, call, {kind: 'unknown'});
    });
  }

  private answer(
    node: VirtualNode,
    call: EffectOf<'store'>,
    outcome: StoreOutcome,
  ): void {
    const {area, operationId} = call;
    this.world.time.after(this.latencyMs, () => {
      node.dispatch({type: 'storeResult', area, operationId, outcome});
    });
  }

  private expireLeases(): void {
    this.platform.advance(this.world.time.nowMs);
    this.world.time.after(EXPIRY_STEP_MS, () => this.expireLeases());
  }
}
