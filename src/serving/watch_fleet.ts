import type {EngineChange} from '../core/fleet/types.js';
import type {ServingContext} from './types.js';
import type {StoreEntry} from '../core/store/types.js';
import {StoreWatch} from './store_watch.js';

const WAIT_MS = 4000;
/**
 * Pause of a node that a steward tells of changes: below the two seconds in
 * which a target that leaves must get nothing more, should datagrams be lost.
 */
const TOLD_PAUSE_MS = 1200;
/** Pause of a node that no steward tells. */
const PAUSE_MS = 250;
/** The steward acts on each change, and waits for the next. */
const STEWARD_PAUSE_MS = 25;
const STEWARD_FRESH_MS = 600;

/** Follows the engines that are registered in the store. */
export function watchFleet(context: ServingContext): StoreWatch {
  const {store, clock, logger, wire, events} = context;
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
    pauseMs: () => resolvePauseMs(context),
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

function resolvePauseMs({state, clock}: ServingContext): number {
  if (state.steward.term !== undefined) return STEWARD_PAUSE_MS;
  const nowMs = clock.nowMs();
  for (const {digest, atMs} of state.peers.values()) {
    if (digest.isSteward && nowMs - atMs < STEWARD_FRESH_MS) {
      return TOLD_PAUSE_MS;
    }
  }
  return PAUSE_MS;
}
