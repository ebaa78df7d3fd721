export {checkForwards} from './check_forwards.js';
export {createForwardingState} from './create_forwarding_state.js';
export {endForward} from './end_forward.js';
export {forwardHandlers} from './forward_handlers.js';
export {forwardRequest} from './forward_request.js';
