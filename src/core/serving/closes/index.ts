export {closeHandlers} from './close_handlers.js';
