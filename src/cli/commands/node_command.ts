import type {Argv, CommandModule} from 'yargs';
import {CliError} from '../cli_error.js';
import {EXIT_CODE_HELP} from '../exit_code_help.js';
import {EXIT_CODE} from '../exit_code.js';
import {createNode} from '../../runtime/index.js';
import {formatFault} from '../../core/config/files/index.js';
import {loadSettings} from '../../settings/index.js';

interface Arguments {
  readonly settings: string;
}

/** `node --settings FILE`: runs a node until it has drained. */
export const nodeCommand: CommandModule<object, Arguments> = {
  command: 'node',
  describe: 'Run a node; SIGTERM drains it and it exits with 0',
  builder: (yargs: Argv) =>
    yargs
      .epilogue(EXIT_CODE_HELP)
      .option('settings', {
        type: 'string',
        demandOption: true,
        describe: 'Settings file of this node',
      })
      .example('$0 node --settings /etc/rhubarbstile/node.ini', ''),
  handler: async ({settings: path}) => {
    const settings = loadSettings(path);
    if (settings.isErr()) {
      throw new CliError(settings.error.map(formatFault).join('\n'), {
        exitCode: EXIT_CODE.filesNotValid,
        data: {faults: settings.error},
      });
    }
    const node = await createNode(settings.value).catch((error: Error) => {
      throw new CliError(
        `The node cannot start: ${error.message}. Check callerAddress and controlAddress in ${path}.`,
        {exitCode: EXIT_CODE.failed},
      );
    });
    process.on('SIGTERM', () => node.drain('SIGTERM'));
    process.on('SIGINT', () => node.drain('SIGINT'));
    await node.ended;
  },
};
