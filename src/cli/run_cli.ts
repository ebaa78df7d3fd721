import {CliError} from './cli_error.js';
import {EXIT_CODE} from './exit_code.js';
import {createCli} from './create_cli.js';

/** Runs one command and returns its exit code; failures are printed to standard error. */
export async function runCli(args: readonly string[]): Promise<number> {
  try {
    await createCli(args).parseAsync();
    return EXIT_CODE.done;
  } catch (error) {
    const json = args.includes('--json');
    if (error instanceof CliError) {
      const {exitCode, data} = error.options;
      const body = {error: error.message, exitCode, data};
      process.stderr.write(
        (json ? JSON.stringify(body) : error.message) + '\n',
      );
      return exitCode;
    }
    process.stderr.write(`${(error as Error)?.stack ?? String(error)}\n`);
    return EXIT_CODE.failed;
  }
}
