import type {EngineChange} from '../core/fleet/types.js';
import type {ServingContext} from './types.js';
import type {StoreEntry} from '../core/store/types.js';
import {StoreWatch} from './store_watch.js';
import {needsFleetWatch} from '../core/serving/index.js';

/** How long the store may hold the call; each answer proves to peers that the steward is up to date. */
const WAIT_MS = 800;
/** Pause of a node that no steward tells of changes. */
const PAUSE_MS = 250;
/** The steward acts on each change, and waits for the next. */
const STEWARD_PAUSE_MS = 25;

/** Follows the engines that are registered in the store. */
export function watchFleet(context: ServingContext): StoreWatch {
  const {store, clock, logger, wire, events, state} = context;
  const {enginesPrefix, readEngine, engineOf} = wire.sources;
  const read = (entry: StoreEntry): EngineChange => {
    const {key, value, version: revision} = entry;
    const vmId = engineOf(key);
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
    waitMs: WAIT_MS,
    idle: ms => context.pulse.wait(ms),
    isNeeded: () => needsFleetWatch(state, clock.nowMs()),
    pauseMs: () =>
      state.steward.term === undefined ? PAUSE_MS : STEWARD_PAUSE_MS,
    onProof: provenAtMs => events.dispatch({type: 'fleetProven', provenAtMs}),
    onList: (entries, revision) =>
      events.dispatch({
        type: 'fleetListed',
        changes: entries.map(read),
        revision,
      }),
    onChanges: (entries, revision) =>
      events.dispatch({
        type: 'fleetChanged',
        changes: entries.map(read),
        revision,
      }),
  });
}
