/** Program of the node's process: caller server, core and target client, with one preset target. */
import {RequestNode} from '../test/support/request_node.js';

const SLOTS = 64;
const TIMEOUT_MS = 60_000;

const node = await RequestNode.start({timeoutMs: TIMEOUT_MS});
node.addTarget('chat', 'target', process.argv[2]!, SLOTS);
process.send!(Number(new URL(node.url).port));
process.on('disconnect', () => process.exit());
