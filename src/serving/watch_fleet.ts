import type {EngineChange} from '../core/fleet/types.js';
import type {ServingContext} from './types.js';
import type {StoreEntry} from '../core/store/types.js';
import {StoreWatch} from './store_watch.js';
import {needsFleetWatch} from '../core/serving/index.js';

/** How long the store may hold a watch call open; each response proves to peers that the steward is up to date. */
const WATCH_HOLD_MS = 800;
/** Pause after changes on a node that watches the store because no steward sends it the changes. */
const PAUSE_MS = 250;
/** Pause after changes on the steward, which acts on every change before it waits for the next. */
const STEWARD_PAUSE_MS = 25;

/** Watches the engines that are registered in the store. Entries that can't be parsed count as removed. */
export function watchFleet(context: ServingContext): StoreWatch {
  const {store, clock, logger, wire, events, state} = context;
  const {enginesPrefix, readEngine, parseVmId} = wire.sources;
  const parseEntry = (entry: StoreEntry): EngineChange => {
    const {key, value, version: revision} = entry;
    const vmId = parseVmId(key);
    if (value === '') return {vmId, revision};
    const engine = readEngine(key, value, revision);
    if (typeof engine !== 'string') return {vmId, revision, engine};
    logger.write('warn', 'fleet', 'entry not understood', {
      key,
      revision,
      fault: engine,
    });
    return {vmId, revision};
  };
  return new StoreWatch(store, clock, logger, {
    label: 'engines',
    prefix: enginesPrefix,
    waitMs: WATCH_HOLD_MS,
    idle: ms => context.sharedTimer.wait(ms),
    isNeeded: () => needsFleetWatch(state, clock.nowMs()),
    pauseMs: () =>
      state.steward.term === undefined ? PAUSE_MS : STEWARD_PAUSE_MS,
    onProof: provenAtMs => events.dispatch({type: 'fleetProven', provenAtMs}),
    onList: (entries, revision) =>
      events.dispatch({
        type: 'fleetListed',
        changes: entries.map(parseEntry),
        revision,
      }),
    onChanges: (entries, revision) =>
      events.dispatch({
        type: 'fleetChanged',
        changes: entries.map(parseEntry),
        revision,
      }),
  });
}
