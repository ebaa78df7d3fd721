import type {Argv, CommandModule} from 'yargs';
import {CliError} from '../cli_error.js';
import {EXIT_CODE_HELP} from '../exit_code_help.js';
import {EXIT_CODE} from '../exit_code.js';
import {Output} from '../output.js';
import {collectFiles, requireValid} from '../files/index.js';

interface Arguments {
  readonly paths: string[];
  readonly json: boolean;
}

/** `validate PATH..`: checks files locally, without a node. */
export const validateCommand: CommandModule<object, Arguments> = {
  command: 'validate <paths..>',
  describe: 'Check service, organisation and settings files; sends nothing',
  builder: (yargs: Argv) =>
    yargs
      .epilogue(EXIT_CODE_HELP)
      .positional('paths', {
        type: 'string',
        array: true,
        demandOption: true,
        describe: 'Files, or directories with *.ini files',
      })
      .option('json', {type: 'boolean', default: false})
      .example('$0 validate services/', 'Check every *.ini below services/')
      .example(
        '$0 validate nodes/*.ini',
        'Check settings for shared addresses',
      ),
  handler: ({paths, json}) => {
    const files = collectFiles(paths);
    if (files.length === 0) {
      throw new CliError(`No *.ini file under ${paths.join(', ')}.`, {
        exitCode: EXIT_CODE.filesNotValid,
        data: {paths},
      });
    }
    requireValid(files);
    const names = files.map(file => file.path);
    new Output(json).print(
      {files: names, faults: []},
      `${files.length} files are valid.`,
    );
  },
};
