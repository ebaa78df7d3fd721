import type {CommandModule} from 'yargs';
import {
  SCENARIOS,
  checkOutcomes,
  parseTrace,
} from '../../replay/scenarios/index.js';
import {
  LOAD_TRACE_PLANS,
  generateLoadTrace,
} from '../../replay/traces/index.js';
import {replayRecording} from '../../replay/index.js';
import {CliError} from '../cli_error.js';
import {EXIT_CODE} from '../exit_code.js';
import {loadText} from './load_text.js';
import {printReport} from './print_report.js';

interface ReplayArguments {
  readonly trace?: string;
  readonly compare: boolean;
  readonly json: boolean;
  readonly generate?: string;
}

/** `replay [TRACE]`: replays a trace or recording in virtual time, or generates a trace. */
export const replayCommand: CommandModule<unknown, ReplayArguments> = {
  command: 'replay [trace]',
  describe: 'Replay a recorded trace in virtual time against its outcomes',
  builder: yargs =>
    yargs
      .positional('trace', {type: 'string', describe: 'Trace file'})
      .option('compare', {
        type: 'boolean',
        default: false,
        describe: 'Run the baselines beside it',
      })
      .option('json', {type: 'boolean', default: false})
      .option('generate', {
        type: 'string',
        choices: [...LOAD_TRACE_PLANS.keys()],
        describe: 'Write the trace of this name to standard output',
      })
      .example('$0 replay crest.jsonl --compare', 'Compare with the baselines')
      .epilogue('Exit codes: 0 met, 1 an outcome is not met, 2 wrong usage.'),
  handler: replay,
};

function replay(args: ReplayArguments): void {
  const plan = LOAD_TRACE_PLANS.get(args.generate ?? '');
  if (plan) return void process.stdout.write(generateLoadTrace(plan));
  if (args.trace === undefined) fail('Name a trace file.');
  const text = loadText(args.trace);
  const recording = replayRecording(text);
  if (recording) {
    process.stdout.write(JSON.stringify(recording) + '\n');
    return;
  }
  const trace = parseTrace(text);
  if (!trace) fail(`"${args.trace}" does not start with a trace head.`);
  const scenario = SCENARIOS.get(trace.head.scenario);
  if (!scenario) fail(`No scenario "${trace.head.scenario}".`);
  const report = scenario.run(trace, {compare: args.compare});
  const outcomes = checkOutcomes(trace, report);
  process.stdout.write(
    args.json
      ? JSON.stringify({...report, outcomes}) + '\n'
      : printReport(report, outcomes),
  );
  if (outcomes.some(outcome => !outcome.isMet))
    process.exitCode = EXIT_CODE.failed;
}

function fail(message: string): never {
  throw new CliError(message, {exitCode: EXIT_CODE.usage});
}
