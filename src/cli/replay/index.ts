export {replayCommand} from './replay_command.js';
