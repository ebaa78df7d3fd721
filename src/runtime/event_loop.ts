import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.js';
import type {Effect} from '../core/effects/types.js';
import type {EffectHandler} from './effect_handler.js';
import type {EventSink} from './event_sink.js';
import type {NodeEvent, UndatedEvent} from '../core/events/types.js';
import type {NodeState} from '../core/state/types.js';
import {reduce} from '../core/reduce.js';

interface LoopOptions {
  readonly state: NodeState;
  readonly clock: Clock;
  /** Sees every event before it is applied. */
  readonly record?: (event: NodeEvent) => void;
  /** Gets the time that each decision took. */
  readonly measure?: (event: NodeEvent, elapsedMs: number) => void;
}

/** Applies events one after the other and hands the effects to their handlers. */
export class EventLoop implements EventSink {
  private readonly waiting: UndatedEvent[] = [];
  private readonly handlers = new Map<Effect['type'], EffectHandler>();
  private running = false;
  private stopped = false;
  private lastMs = 0;

  constructor(private readonly options: LoopOptions) {}

  /** Names the handler of its effect types; an effect without handler is dropped. */
  addHandler(handler: EffectHandler): void {
    for (const type of handler.types) {
      this.handlers.set(type, handler);
    }
  }

  /** Applies an event now, or after those that wait when called from a handler. */
  dispatch(event: UndatedEvent): void {
    if (this.stopped) return;
    this.waiting.push(event);
    if (this.running) return;
    this.running = true;
    try {
      this.drainWaiting();
    } finally {
      this.running = false;
    }
  }

  /** Ignores all further events. */
  stop(): void {
    this.stopped = true;
    this.waiting.length = 0;
  }

  private drainWaiting(): void {
    for (let at = 0; at < this.waiting.length; at++) {
      this.apply(this.waiting[at]!);
    }
    this.waiting.length = 0;
  }

  private apply(undated: UndatedEvent): void {
    this.lastMs = Math.max(this.lastMs, this.options.clock.nowMs());
    const event: NodeEvent = {...undated, nowMs: this.lastMs};
    this.options.record?.(event);
    const startedAtMs = performance.now();
    const effects = reduce(this.options.state, event);
    this.options.measure?.(event, performance.now() - startedAtMs);
    for (const effect of effects) {
      this.handlers.get(effect.type)?.handle(effect);
    }
  }
}
