import type {Argv, CommandModule} from 'yargs';
import {CliError} from '../cli_error.js';
import {EXIT_CODE} from '../exit_code.js';
import {EXIT_CODE_HELP} from '../exit_code_help.js';
import {Output} from '../output.js';
import {explainRequest, formatLogLine, readLog} from '../logs/index.js';

interface Arguments {
  readonly request: string;
  readonly json: boolean;
}

/**
 * `explain --request ID < LOGS`: prints the log lines of a request and the one
 * that decided its end.
 */
export const explainCommand: CommandModule<object, Arguments> = {
  command: 'explain',
  describe:
    'Explain a request from the logs of all nodes, read from standard input',
  builder: (yargs: Argv) =>
    yargs
      .epilogue(EXIT_CODE_HELP)
      .option('request', {
        type: 'string',
        demandOption: true,
        describe: "The node's id of the request, or the caller's",
      })
      .option('json', {type: 'boolean', default: false})
      .example(
        'cat logs/*.json | $0 explain --request edge-1.2v',
        'All lines of a request, and the one that decided its end',
      ),
  handler: async ({request, json}) => {
    const log = await readLog(process.stdin);
    const explanation = explainRequest(log, request);
    const {lines, deciding, context} = explanation;
    if (lines.length === 0) {
      throw new CliError(`No line of the logs names ${request}.`, {
        exitCode: EXIT_CODE.failed,
        data: {request, linesRead: log.length},
      });
    }
    const text = [
      ...lines.map(formatLogLine),
      '',
      deciding
        ? `Decided by: ${formatLogLine(deciding)}`
        : 'No line tells its end: the node ended, or its line was left out.',
      ...(context.length > 0 ? ['', 'Its targets meanwhile:'] : []),
      ...context.map(formatLogLine),
    ].join('\n');
    new Output(json).print(explanation, text);
  },
};
