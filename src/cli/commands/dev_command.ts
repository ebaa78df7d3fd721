import type {CommandModule} from 'yargs';
import {CliError} from '../cli_error.js';
import {DevCluster, formatWelcome, runDemo} from '../../dev/index.js';
import {EXIT_CODE} from '../exit_code.js';
import {EXIT_CODE_HELP} from '../exit_code_help.js';

interface Arguments {
  readonly demo: boolean;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
}

/** `dev`: runs a complete deployment in one process, or its demo. */
export const devCommand: CommandModule<object, Arguments> = {
  command: 'dev',
  describe:
    'Run three nodes with stand-in targets in this process, to try things',
  builder: yargs =>
    yargs
      .option('demo', {
        type: 'boolean',
        default: false,
        describe: 'Send a mixed load with faults, print a table, and end',
      })
      .option('logLevel', {
        alias: 'log-level',
        choices: ['debug', 'info', 'warn', 'error'] as const,
        default: 'warn' as const,
      })
      .example('$0 dev', 'Print addresses and run until Ctrl-C')
      .epilogue(EXIT_CODE_HELP),
  handler: async ({demo, logLevel}) => {
    if (demo) return runDemoOrFail();
    const cluster = await DevCluster.start({logLevel});
    process.stdout.write(formatWelcome(cluster) + '\n');
    await new Promise<void>(resolve => {
      process.once('SIGINT', resolve);
      process.once('SIGTERM', resolve);
    });
    await cluster.close();
  },
};

async function runDemoOrFail(): Promise<void> {
  const isSuccessful = await runDemo(
    line => void process.stdout.write(line + '\n'),
  );
  if (isSuccessful) return;
  throw new CliError('Requests were lost or answered wrongly; see above.', {
    exitCode: EXIT_CODE.failed,
  });
}
