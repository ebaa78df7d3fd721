export {ControlServer} from './control_server.js';
