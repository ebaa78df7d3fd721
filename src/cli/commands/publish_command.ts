import {randomUUID} from 'node:crypto';
import type {CommandModule} from 'yargs';
import type {PublishAnswer} from '../../core/operators/types.js';
import {CliError} from '../cli_error.js';
import {EXIT_CODE} from '../exit_code.js';
import {Output} from '../output.js';
import {callNode, clientOptions} from '../client/index.js';
import {collectFiles, requireValid} from '../files/index.js';
import {fileKind} from '../../core/config/files/index.js';
import {waitForRevision} from './wait_for_revision.js';

type Arguments = Parameters<typeof callNode>[0] & {
  readonly json: boolean;
  readonly directory: string;
  readonly prune: boolean;
  readonly baseRevision?: number | undefined;
  readonly wait: boolean;
  readonly waitSeconds: number;
};

/** `publish DIRECTORY`: checks the configuration files below a directory and publishes them. */
export const publishCommand: CommandModule<object, Arguments> = {
  command: 'publish <directory>',
  describe: 'Check the *.ini files below a directory and put them in force',
  builder: yargs =>
    clientOptions(yargs)
      .positional('directory', {type: 'string', demandOption: true})
      .option('prune', {
        type: 'boolean',
        default: false,
        describe: 'Remove services that have no file here',
      })
      .option('baseRevision', {
        alias: 'base-revision',
        type: 'number',
        describe: 'Refuse when a service here was changed after this revision',
      })
      .option('wait', {
        type: 'boolean',
        default: false,
        describe: 'Wait until every live node has the revision',
      })
      .option('waitSeconds', {
        alias: 'wait-seconds',
        type: 'number',
        default: 30,
        describe: 'Longest wait',
      })
      .example('$0 publish services/ --wait', '')
      .example('$0 publish . --base-revision 12', ''),
  handler: async options => {
    const files = collectConfigFiles(options.directory);
    const answer = await callNode<PublishAnswer>(options, {
      kind: 'publish',
      publicationId: randomUUID(),
      files,
      prune: options.prune,
      ...(options.baseRevision !== undefined && {
        baseRevision: options.baseRevision,
      }),
    });
    if (options.wait) await waitAndPrint(options, answer);
    else new Output(options.json).print(answer, formatAnswer(answer));
  },
};

/** Collects and checks the files to publish; settings files in the same directory are skipped. */
function collectConfigFiles(directory: string) {
  const files = collectFiles([directory]).filter(
    file => fileKind(file.text) !== 'settings',
  );
  if (files.length === 0) {
    throw new CliError(`No service file (*.ini) below ${directory}.`, {
      exitCode: EXIT_CODE.filesNotValid,
      data: {directory},
    });
  }
  requireValid(files);
  return files;
}

function formatAnswer({revision, changed}: PublishAnswer): string {
  if (changed.length === 0)
    return `Revision ${revision} has these files already.`;
  const lines = changed.map(key => `  changed: ${key}`);
  return [`Revision ${revision} is accepted.`, ...lines].join('\n');
}

async function waitAndPrint(
  options: Arguments,
  answer: PublishAnswer,
): Promise<void> {
  const timeoutMs = options.waitSeconds * 1000;
  const spread = await waitForRevision(options, answer.revision, timeoutMs);
  const {reached, waiting} = spread;
  const text = [
    formatAnswer(answer),
    `At revision ${answer.revision}: ${reached.join(', ') || 'no node'}.`,
  ].join('\n');
  new Output(options.json).print({...answer, ...spread}, text);
  if (waiting.length === 0) return;
  throw new CliError(
    `Not yet at revision ${answer.revision} after ${options.waitSeconds} s: ${waiting.join(', ')}. Run "rhubarbstile status" to see them.`,
    {exitCode: EXIT_CODE.notEverywhere, data: spread},
  );
}
