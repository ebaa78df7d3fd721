import type {HeldConfig, ServingContext} from './types.js';
import type {StoreEntry} from '../core/store/types.js';
import {StoreWatch} from './store_watch.js';
import {applyConfigText} from './apply_config_text.js';
import {needsConfigWatch} from '../core/serving/index.js';

/**
 * How long the store may hold the call: each answer proves that the
 * configuration is current, and the proof must be younger than the time in
 * which a key that was taken away has to be refused.
 */
const WAIT_MS = 1500;

/** Follows the operator's configuration. */
export function watchConfig(
  context: ServingContext,
  held: HeldConfig,
): StoreWatch {
  const {store, clock, logger, wire, events, state} = context;
  const {configKey} = wire.sources;
  const apply = (entries: readonly StoreEntry[]) => {
    for (const {key, value} of entries) {
      if (key !== configKey || value === '') continue;
      applyConfigText(context, held, {text: value, provenAtMs: -Infinity});
    }
  };
  return new StoreWatch(store, clock, logger, {
    label: 'configuration',
    prefix: configKey,
    waitMs: WAIT_MS,
    idle: ms => context.pulse.wait(ms),
    isNeeded: () => needsConfigWatch(state, clock.nowMs()),
    pauseMs: () => 0,
    onList: apply,
    onChanges: apply,
    onProof: provenAtMs => events.dispatch({type: 'configRead', provenAtMs}),
  });
}
