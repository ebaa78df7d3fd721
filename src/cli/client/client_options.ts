import type {Argv} from 'yargs';
import {userInfo} from 'node:os';
import {EXIT_CODE_HELP} from '../exit_code_help.js';

const DEFAULT_NODE = '127.0.0.1:8081';

/** Adds the options shared by commands that send a request to a node. */
export function clientOptions<T>(yargs: Argv<T>) {
  return yargs
    .option('node', {
      type: 'string',
      describe: 'Control address of any node (or RHUBARBSTILE_NODE)',
      default: process.env['RHUBARBSTILE_NODE'] ?? DEFAULT_NODE,
    })
    .option('token', {
      type: 'string',
      describe: 'Operator token (better: RHUBARBSTILE_TOKEN)',
    })
    .option('operator', {
      type: 'string',
      describe: 'Name for the audit trail (or RHUBARBSTILE_OPERATOR)',
      default: process.env['RHUBARBSTILE_OPERATOR'] ?? userInfo().username,
    })
    .option('json', {
      type: 'boolean',
      describe: 'Print one JSON document',
      default: false,
    })
    .epilogue(EXIT_CODE_HELP);
}
