export {cancelRun} from './cancel_run.js';
export {chooseRun} from './choose_run.js';
export {continueOtherRun} from './continue_other_run.js';
export {findAttempt} from './find_attempt.js';
export {findForward} from './find_forward.js';
export {findRunTarget} from './find_run_target.js';
export {keepSilentRun} from './keep_silent_run.js';
export {listAttempts} from './list_attempts.js';
