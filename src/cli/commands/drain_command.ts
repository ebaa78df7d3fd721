import type {CommandModule} from 'yargs';
import type {StatusAnswer} from '../../core/operators/types.js';
import {CliError} from '../cli_error.js';
import {EXIT_CODE} from '../exit_code.js';
import {Output} from '../output.js';
import {callNode, clientOptions} from '../client/index.js';

type Arguments = Parameters<typeof callNode>[0] & {
  readonly json: boolean;
  readonly name: string;
};

/** `drain NODE`: makes a node finish its requests and exit. */
export const drainCommand: CommandModule<object, Arguments> = {
  command: 'drain <name>',
  describe: 'Make a node leave: it finishes its requests and exits',
  builder: yargs =>
    clientOptions(yargs)
      .positional('name', {
        type: 'string',
        demandOption: true,
        describe: 'Name of the node, as "status" lists it',
      })
      .example('$0 drain node-3 --node 10.0.0.1:8081', ''),
  handler: async options => {
    const {name} = options;
    const address = await findControlAddress(options);
    const nodeOptions = {...options, node: address};
    const answer = await callNode(nodeOptions, {kind: 'drain', node: name});
    new Output(options.json).print(answer, `Node ${name} is draining.`);
  },
};

/**
 * Looks up the control address of the node to drain, because only that node
 * accepts the request.
 */
async function findControlAddress(options: Arguments): Promise<string> {
  const status = await callNode<StatusAnswer>(options, {kind: 'status'});
  const node = status.nodes.find(one => one.nodeId === options.name);
  if (node) return node.controlAddress;
  const names = status.nodes.map(one => one.nodeId).join(', ');
  throw new CliError(`There is no node "${options.name}". Nodes: ${names}.`, {
    exitCode: EXIT_CODE.refused,
    data: {node: options.name},
  });
}
