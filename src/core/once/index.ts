export {beginOnce} from './begin_once.js';
export {createOnceState} from './create_once_state.js';
export {noteOnceDispatched} from './note_once_dispatched.js';
export {recordOnceOutcome} from './record_once_outcome.js';
export {noteOnceUndispatched} from './note_once_undispatched.js';
export {reduceOnce} from './reduce_once.js';
export type * from './types.js';
