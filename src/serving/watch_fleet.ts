import type {EngineRecord} from '../core/fleet/types.js';
import type {ServingContext} from './types.js';
import type {StoreEntry} from '../core/store/types.js';
import type {VmId} from '../core/ids/index.js';
import {StoreWatch} from './store_watch.js';

const WAIT_MS = 4000;
/** Changes come in bursts; a node that only routes gathers them. */
const PAUSE_MS = 250;
/** The steward acts on each change, and waits for the next. */
const STEWARD_PAUSE_MS = 25;

/** Follows the engines that are registered in the store. */
export function watchFleet(context: ServingContext): StoreWatch {
  const {store, clock, logger, wire, events, state} = context;
  const {enginesPrefix, readEngine, engineOf} = wire.sources;
  const read = (entries: readonly StoreEntry[]) => {
    const changed: EngineRecord[] = [];
    const removed: VmId[] = [];
    for (const {key, value} of entries) {
      const engine = value === '' ? 'removed' : readEngine(key, value);
      if (typeof engine !== 'string') {
        changed.push(engine);
        continue;
      }
      removed.push(engineOf(key));
      if (value === '') continue;
      logger.write('warn', 'fleet', 'entry not understood', {
        key,
        fault: engine,
      });
    }
    return {changed, removed};
  };
  return new StoreWatch(store, clock, logger, {
    label: 'engines',
    prefix: enginesPrefix,
    waitMs: WAIT_MS,
    pauseMs: () =>
      state.steward.term === undefined ? PAUSE_MS : STEWARD_PAUSE_MS,
    onList: (entries, revision) =>
      events.dispatch({
        type: 'fleetListed',
        engines: read(entries).changed,
        revision,
      }),
    onChanges: (entries, revision) =>
      events.dispatch({type: 'fleetChanged', ...read(entries), revision}),
  });
}
