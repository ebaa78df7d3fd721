import type {Argv, CommandModule} from 'yargs';
import {EXIT_CODE_HELP} from '../exit_code_help.js';
import {Output} from '../output.js';
import {formatLogLine, readLog} from '../logs/index.js';

interface Arguments {
  readonly area: readonly string[];
  readonly json: boolean;
}

/** Areas that log the state of the fleet rather than the progress of single requests. */
const FLEET_STATE_AREAS = [
  'config',
  'fleet',
  'peers',
  'process',
  'steward',
  'store',
];

/**
 * `timeline < LOGS`: prints the log lines on the state of the fleet from all
 * nodes, in order of time.
 */
export const timelineCommand: CommandModule<object, Arguments> = {
  command: 'timeline',
  describe:
    'What nodes believed of replicas, configuration, leases and each other, from logs on standard input',
  builder: (yargs: Argv) =>
    yargs
      .epilogue(EXIT_CODE_HELP)
      .option('area', {
        type: 'string',
        array: true,
        default: FLEET_STATE_AREAS,
        describe: 'Areas to show',
      })
      .option('json', {type: 'boolean', default: false})
      .example(
        'cat logs/*.json | $0 timeline --area steward',
        'The life of every replica',
      ),
  handler: async ({area, json}) => {
    const log = await readLog(process.stdin);
    const lines = log
      .filter(line => area.includes(line.area))
      .sort((a, b) => a.timeMs - b.timeMs);
    new Output(json).print({lines}, lines.map(formatLogLine).join('\n'));
  },
};
