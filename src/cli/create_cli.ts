import yargs, {type Argv} from 'yargs';
import {CliError} from './cli_error.js';
import {EXIT_CODE} from './exit_code.js';
import {EXIT_CODE_HELP} from './exit_code_help.js';
import {auditCommand} from './commands/audit_command.js';
import {configCommand} from './commands/config_command.js';
import {devCommand} from './commands/dev_command.js';
import {drainCommand} from './commands/drain_command.js';
import {explainCommand} from './commands/explain_command.js';
import {nodeCommand} from './commands/node_command.js';
import {publishCommand} from './commands/publish_command.js';
import {replayCommand} from './replay/index.js';
import {replicasCommand} from './commands/replicas_command.js';
import {servicesCommand} from './commands/services_command.js';
import {statusCommand} from './commands/status_command.js';
import {timelineCommand} from './commands/timeline_command.js';
import {validateCommand} from './commands/validate_command.js';

/** Creates the command line with all commands. */
export function createCli(args: readonly string[]): Argv {
  return yargs([...args])
    .scriptName('rhubarbstile')
    .usage('$0 <command>\n\nServes large models that each span several VMs.')
    .command(nodeCommand)
    .command(validateCommand)
    .command(publishCommand)
    .command(configCommand)
    .command(statusCommand)
    .command(servicesCommand)
    .command(replicasCommand)
    .command(auditCommand)
    .command(drainCommand)
    .command(explainCommand)
    .command(timelineCommand)
    .command(devCommand)
    .command(replayCommand)
    .demandCommand(1, 'Name a command.')
    .recommendCommands()
    .strict()
    .fail(throwUsage)
    .wrap(100)
    .version()
    .help()
    .epilogue(EXIT_CODE_HELP);
}

/** Rethrows failures of commands; converts errors of yargs into usage errors. */
function throwUsage(message: string, error?: Error): never {
  if (error && error.name !== 'YError') throw error;
  const hint = 'Run "rhubarbstile --help" for commands and options.';
  throw new CliError(`${message ?? error?.message}\n${hint}`, {
    exitCode: EXIT_CODE.usage,
  });
}
