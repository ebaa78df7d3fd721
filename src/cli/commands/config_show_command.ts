import type {CommandModule} from 'yargs';
import type {ConfigShowAnswer} from '../../core/operators/types.js';
import {CliError} from '../cli_error.js';
import {EXIT_CODE} from '../exit_code.js';
import {Output} from '../output.js';
import {callNode, clientOptions} from '../client/index.js';

type Arguments = Parameters<typeof callNode>[0] & {
  readonly json: boolean;
  readonly service?: string | undefined;
};
type Files = ConfigShowAnswer['files'];

/** `config show [SERVICE]`: prints the files in force, or the file of one service. */
export const configShowCommand: CommandModule<object, Arguments> = {
  command: 'show [service]',
  describe: 'Show the files in force, or one service',
  builder: yargs =>
    clientOptions(yargs)
      .positional('service', {
        type: 'string',
        describe: 'Name of a service, or "organisations"',
      })
      .example('$0 config show chat', '')
      .example('$0 config show --json', ''),
  handler: async options => {
    const answer = await callNode<ConfigShowAnswer>(options, {
      kind: 'configShow',
    });
    const files = selectFiles(answer.files, options.service);
    const texts = files.map(({name, text}) => `# ${name}\n${text.trimEnd()}\n`);
    const text = [`# revision ${answer.revision}`, ...texts].join('\n');
    new Output(options.json).print({...answer, files}, text);
  },
};

function selectFiles(files: Files, service?: string): Files {
  if (service === undefined) return files;
  const selected = files.filter(file => file.name === service);
  if (selected.length > 0) return selected;
  const names = files.map(file => file.name).join(', ') || 'none';
  throw new CliError(`There is no service "${service}". In force: ${names}.`, {
    exitCode: EXIT_CODE.refused,
    data: {service},
  });
}
