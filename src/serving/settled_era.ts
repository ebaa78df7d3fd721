import type {EffectHandler} from '../runtime/types.js';
import type {ServingComponent, ServingContext} from './types.js';
import type {ServingEffect} from '../core/serving/types.js';
import {sleep} from './sleep.js';

const KEY = 'rhubarbstile/settled-era';
const STORE_TIMEOUT_MS = 500;
const RETRY_DELAY_MS = 300;

/**
 * Keeps a mark in the store of the latest era in which all that write there have
 * had the time to write again. A store restored from a backup has the mark of an earlier era.
 */
export class SettledEra
  implements EffectHandler<ServingEffect>, ServingComponent
{
  readonly types = ['markSettledEra'] as const;
  private isClosed = false;

  constructor(private readonly context: ServingContext) {}

  /** Reads the mark once; not on the first start of the system, when there is none. */
  start(): void {
    if (!this.context.settings.isFirstStart) void this.read();
  }

  handle(effect: ServingEffect): void {
    if (effect.type === 'markSettledEra') void this.write(effect.era);
  }

  close(): Promise<void> {
    this.isClosed = true;
    return Promise.resolve();
  }

  destroy(): void {
    this.isClosed = true;
  }

  private async read(): Promise<void> {
    const {store, events} = this.context;
    while (!this.isClosed) {
      const outcome = await store.call(
        {kind: 'get', key: KEY},
        STORE_TIMEOUT_MS,
      );
      if (outcome.kind === 'ok') {
        const era = Number(outcome.entries?.[0]?.value);
        if (era > 0) events.dispatch({type: 'settledEraRead', era});
        return;
      }
      await sleep(RETRY_DELAY_MS);
    }
  }

  private async write(era: number): Promise<void> {
    const {store, state, logger} = this.context;
    const value = String(era);
    let expectedVersion = 0;
    while (!this.isClosed && state.restore.era === era) {
      const outcome = await store.call(
        {kind: 'compareAndSwap', key: KEY, expectedVersion, value},
        STORE_TIMEOUT_MS,
      );
      if (outcome.kind === 'ok') {
        logger.write('info', 'store', 'era marked as settled', {era});
        return;
      }
      if (outcome.kind === 'conflict') {
        if (outcome.current?.value === value) return;
        expectedVersion = outcome.current?.version ?? 0;
        if (outcome.current) continue;
      }
      await sleep(RETRY_DELAY_MS);
    }
  }
}
