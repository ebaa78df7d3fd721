export {DevCluster} from './dev_cluster.js';
export {formatWelcome} from './format_welcome.js';
