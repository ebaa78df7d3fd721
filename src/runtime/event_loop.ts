import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.js';
import type {EffectHandler} from './effect_handler.js';
import type {EventSink} from './event_sink.js';

type Timestamped<Event> = Event & {readonly nowMs: number};

interface LoopOptions<State, Event, Effect> {
  readonly state: State;
  readonly clock: Clock;
  readonly reduce: (state: State, event: Timestamped<Event>) => Effect[];
  /** Called with every event before it is applied. */
  readonly record?: (event: Timestamped<Event>) => void;
  /**
   * Called when the reducer or a handler throws; the loop goes on with the next
   * effect. Without it, the first error is thrown once all events are applied.
   */
  readonly onError?: (
    error: unknown,
    event: Event,
    effectType?: string,
  ) => void;
  /** Called with the duration of the reducer for each event. */
  readonly measure?: (event: Timestamped<Event>, elapsedMs: number) => void;
}

/** Applies events sequentially and passes the resulting effects to their handlers. */
export class EventLoop<
  State,
  Event extends object,
  Effect extends {readonly type: string},
> implements EventSink<Event> {
  private readonly queue: Event[] = [];
  private readonly handlers = new Map<Effect['type'], EffectHandler<Effect>>();
  private running = false;
  private isStopped = false;
  private lastEventAtMs = 0;

  constructor(private readonly options: LoopOptions<State, Event, Effect>) {}

  /** Registers a handler for its effect types. Effects without a handler are dropped. */
  addHandler(handler: EffectHandler<Effect>): void {
    for (const type of handler.types) {
      this.handlers.set(type, handler);
    }
  }

  /** Applies an event synchronously; if called from a handler, after the queued events. */
  dispatch(event: Event): void {
    if (this.isStopped) return;
    this.queue.push(event);
    if (this.running) return;
    this.running = true;
    try {
      this.processQueue();
    } finally {
      this.running = false;
    }
  }

  /** Discards queued events and ignores all further ones. */
  stop(): void {
    this.isStopped = true;
    this.queue.length = 0;
  }

  private processQueue(): void {
    const errors: unknown[] = [];
    const report =
      this.options.onError ?? ((error: unknown) => void errors.push(error));
    for (let at = 0; at < this.queue.length; at++) {
      const event = this.queue[at]!;
      try {
        this.apply(event, (error, type) => report(error, event, type));
      } catch (error) {
        report(error, event);
      }
    }
    this.queue.length = 0;
    if (errors.length > 0) throw errors[0];
  }

  private apply(
    input: Event,
    reportHandler: (error: unknown, effectType: string) => void,
  ): void {
    this.lastEventAtMs = Math.max(
      this.lastEventAtMs,
      this.options.clock.nowMs(),
    );
    const event: Timestamped<Event> = {...input, nowMs: this.lastEventAtMs};
    this.options.record?.(event);
    const startedAtMs = performance.now();
    const effects = this.options.reduce(this.options.state, event);
    this.options.measure?.(event, performance.now() - startedAtMs);
    for (const effect of effects) {
      try {
        this.handlers.get(effect.type)?.handle(effect);
      } catch (error) {
        reportHandler(error, effect.type);
      }
    }
  }
}
