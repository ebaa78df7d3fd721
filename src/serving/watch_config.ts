import type {ConfigCache, ServingContext} from './types.js';
import type {StoreEntry} from '../core/store/types.js';
import {StoreWatch} from './store_watch.js';
import {applyConfigText} from './apply_config_text.js';
import {needsConfigWatch} from '../core/serving/index.js';

/**
 * How long the store may hold a watch call open. Each response proves that the
 * configuration is current, and the proof must be younger than the time within
 * which a revoked API key has to be refused.
 */
const WATCH_HOLD_MS = 1500;

/** Watches the operator's configuration in the store and activates new versions. */
export function watchConfig(
  context: ServingContext,
  configCache: ConfigCache,
): StoreWatch {
  const {store, clock, logger, wire, events, state} = context;
  const {configKey} = wire.sources;
  const apply = (entries: readonly StoreEntry[]) => {
    for (const {key, value} of entries) {
      if (key !== configKey || value === '') continue;
      applyConfigText(context, configCache, {
        text: value,
        provenAtMs: -Infinity,
      });
    }
  };
  return new StoreWatch(store, clock, logger, {
    label: 'configuration',
    prefix: configKey,
    waitMs: WATCH_HOLD_MS,
    idle: ms => context.sharedTimer.wait(ms),
    isNeeded: () => needsConfigWatch(state, clock.nowMs()),
    pauseMs: () => 0,
    onList: apply,
    onChanges: apply,
    onProof: provenAtMs => events.dispatch({type: 'configRead', provenAtMs}),
  });
}
