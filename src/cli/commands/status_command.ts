import type {CommandModule} from 'yargs';
import type {StatusAnswer} from '../../core/operators/types.js';
import {Output} from '../output.js';
import {callNode, clientOptions} from '../client/index.js';
import {formatTable} from '../format_table.js';

type Arguments = Parameters<typeof callNode>[0] & {readonly json: boolean};

/** `status`: lists the nodes, from the view of the node that answers. */
export const statusCommand: CommandModule<object, Arguments> = {
  command: 'status',
  describe: 'List the nodes, their phase and their configuration revision',
  builder: yargs =>
    clientOptions(yargs).example('$0 status --node 10.0.0.1:8081', ''),
  handler: async options => {
    const status = await callNode<StatusAnswer>(options, {kind: 'status'});
    new Output(options.json).print(status, formatStatus(status));
  },
};

function formatStatus(status: StatusAnswer): string {
  const rows = status.nodes.map(node => [
    node.nodeId,
    node.zone,
    node.live ? node.phase : `silent ${Math.round(node.silentMs / 1000)}s`,
    node.configRevision,
    node.running,
    node.queued,
    node.callerAddress,
    node.controlAddress,
  ]);
  const heading = `Revision ${status.revision}, as node ${status.answeredBy} sees it`;
  const columns = [
    'NODE',
    'ZONE',
    'PHASE',
    'REVISION',
    'RUNNING',
    'QUEUED',
    'CALLERS',
    'CONTROL',
  ];
  return `${heading}\n${formatTable(columns, rows)}`;
}
