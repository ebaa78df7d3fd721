export {DevCluster} from './dev_cluster.js';
export {formatWelcome} from './format_welcome.js';
export {runDemo} from './demo/run_demo.js';
