export {checkFiles} from './check_files.js';
export {collectFiles} from './collect_files.js';
export {requireValid} from './require_valid.js';
