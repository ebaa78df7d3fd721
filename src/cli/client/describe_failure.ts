import type {FileFault} from '../../core/config/files/index.js';
import type {OperatorFailure} from '../../operators/types.js';
import {CliError} from '../cli_error.js';
import {EXIT_CODE} from '../exit_code.js';
import {formatFault} from '../../core/config/files/index.js';

/** Turns a failure into one line that says what to do. */
export function describeFailure(failure: OperatorFailure): CliError {
  const {address} = failure;
  if (failure.kind === 'unreachable') {
    return new CliError(
      `Node ${address} cannot be reached (${failure.cause}). Check --node or RHUBARBSTILE_NODE, or ask another node.`,
      {exitCode: EXIT_CODE.unreachable, data: failure},
    );
  }
  if (failure.kind === 'protocol') {
    return new CliError(
      `${address} does not answer as a node (status ${failure.status}). Give the control address of a node with --node.`,
      {exitCode: EXIT_CODE.unreachable, data: failure},
    );
  }
  const {error, details} = failure;
  const faults = readFaults(details).map(formatFault);
  const line = `${error.title}: ${error.message} ${error.hint}`;
  return new CliError([...faults, line].join('\n'), {
    exitCode: exitCodeOf(failure.error),
    data: failure,
  });
}

function exitCodeOf(error: {
  readonly name: string;
  readonly verdict: string;
}): number {
  if (error.name === 'OperatorNotAuthenticated') {
    return EXIT_CODE.notAuthenticated;
  }
  if (error.name === 'ConfigInvalid') return EXIT_CODE.filesNotValid;
  if (error.name === 'StoreUnavailable') return EXIT_CODE.unreachable;
  return error.verdict === 'not-run'
    ? EXIT_CODE.refused
    : EXIT_CODE.outcomeNotKnown;
}

/** The faults that a node found in a publication. */
function readFaults(details: unknown): FileFault[] {
  const faults = (details as {faults?: unknown} | undefined)?.faults;
  return Array.isArray(faults) ? (faults as FileFault[]) : [];
}
