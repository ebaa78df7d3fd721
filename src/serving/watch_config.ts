import type {ConfigCache, ServingContext} from './types.js';
import type {StoreEntry} from '../core/store/types.js';
import type {ZoneId} from '../core/ids/index.js';
import {StoreWatch} from './store_watch.js';
import {applyConfigText} from './apply_config_text.js';
import {needsConfigWatch} from '../core/serving/index.js';

/**
 * How long the store may hold a watch call open. Each response proves that the
 * configuration is current, and the proof must be younger than the time within
 * which a revoked API key has to be refused.
 */
const WATCH_HOLD_MS = 1500;

/** Watches the operator's configuration in the store and activates new versions. Where zones can be evacuated, the same calls read these as well. */
export function watchConfig(
  context: ServingContext,
  configCache: ConfigCache,
): StoreWatch {
  const {store, clock, logger, wire, events, state} = context;
  const {configKey, operatorPrefix, parseEvacuatedZone} = wire.sources;
  const {isEnabled} = state.evacuation;
  let storeVersion = -1;
  let zones = new Set<ZoneId>();
  const apply = (entries: readonly StoreEntry[]) => {
    for (const {key, value} of entries) {
      if (key !== configKey || value === '') continue;
      applyConfigText(context, configCache, {
        text: value,
        provenAtMs: -Infinity,
      });
    }
  };
  const applyZones = (entries: readonly StoreEntry[]) => {
    for (const {key, value} of entries) {
      const zone = parseEvacuatedZone(key);
      if (zone === undefined) continue;
      if (value === '') zones.delete(zone);
      else zones.add(zone);
    }
  };
  return new StoreWatch(store, clock, logger, {
    label: 'configuration',
    prefix: isEnabled ? operatorPrefix : configKey,
    waitMs: WATCH_HOLD_MS,
    idle: ms => context.sharedTimer.wait(ms),
    isNeeded: () => needsConfigWatch(state, clock.nowMs()),
    pauseMs: () => 0,
    onList: (entries, revision) => {
      // A list on request runs beside the watch, which may have read on meanwhile.
      if (revision >= storeVersion) {
        storeVersion = revision;
        zones = new Set();
        applyZones(entries);
      }
      apply(entries);
    },
    onChanges: (entries, revision) => {
      applyZones(entries.filter(({version}) => version > storeVersion));
      storeVersion = Math.max(storeVersion, revision);
      apply(entries);
    },
    onProof: provenAtMs => {
      if (isEnabled) {
        events.dispatch({
          type: 'evacuationRead',
          storeVersion,
          zones: [...zones],
          provenAtMs,
        });
      }
      events.dispatch({type: 'configRead', provenAtMs});
    },
  });
}
