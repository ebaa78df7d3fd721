import type {CommandModule} from 'yargs';
import type {ConfigHistoryAnswer} from '../../core/operators/types.js';
import {Output} from '../output.js';
import {callNode, clientOptions} from '../client/index.js';
import {formatTable} from '../format_table.js';

type Arguments = Parameters<typeof callNode>[0] & {
  readonly json: boolean;
  readonly limit: number;
};
type Publications = ConfigHistoryAnswer['publications'];

/** `config history`: lists accepted publications, newest first. */
export const configHistoryCommand: CommandModule<object, Arguments> = {
  command: 'history',
  describe: 'List accepted publications, newest first',
  builder: yargs =>
    clientOptions(yargs)
      .option('limit', {type: 'number', default: 20})
      .example('$0 config history --limit 5', ''),
  handler: async options => {
    const {limit} = options;
    const answer = await callNode<ConfigHistoryAnswer>(options, {
      kind: 'configHistory',
      limit,
    });
    const text = formatHistory(answer.publications);
    new Output(options.json).print(answer, text);
  },
};

function formatHistory(publications: Publications): string {
  const rows = publications.map(({revision, atMs, operator, changed}) => [
    revision,
    new Date(atMs).toISOString(),
    operator,
    changed.join(', '),
  ]);
  return formatTable(['REVISION', 'WHEN', 'WHO', 'CHANGES'], rows);
}
