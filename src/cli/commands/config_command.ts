import type {CommandModule} from 'yargs';
import {configHistoryCommand} from './config_history_command.js';
import {configShowCommand} from './config_show_command.js';

/** `config show|history`: parent command; a subcommand is required. */
export const configCommand: CommandModule = {
  command: 'config',
  describe: 'Show the configuration in force, or its history',
  builder: yargs =>
    yargs
      .command(configShowCommand)
      .command(configHistoryCommand)
      .demandCommand(1, 'Use "config show" or "config history".'),
  handler: () => {},
};
