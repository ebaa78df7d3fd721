import type {CommandModule} from 'yargs';
import {DevCluster, formatWelcome} from '../../dev/index.js';
import {EXIT_CODE_HELP} from '../exit_code_help.js';

interface Arguments {
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
}

/** `dev`: the embedded default, a whole deployment in one process. */
export const devCommand: CommandModule<object, Arguments> = {
  command: 'dev',
  describe:
    'Run three nodes with stand-in targets in this process, to try things',
  builder: yargs =>
    yargs
      .option('logLevel', {
        alias: 'log-level',
        choices: ['debug', 'info', 'warn', 'error'] as const,
        default: 'warn' as const,
      })
      .example('$0 dev', 'Print addresses and run until Ctrl-C')
      .epilogue(EXIT_CODE_HELP),
  handler: async ({logLevel}) => {
    const cluster = await DevCluster.start({logLevel});
    process.stdout.write(formatWelcome(cluster) + '\n');
    await new Promise<void>(resolve => {
      process.once('SIGINT', resolve);
      process.once('SIGTERM', resolve);
    });
    await cluster.close();
  },
};
