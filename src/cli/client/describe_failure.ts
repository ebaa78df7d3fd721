import type {PublishRefusalDetails} from '../../core/operators/types.js';
import type {OperatorFailure} from '../../operators/types.js';
import {CliError} from '../cli_error.js';
import {EXIT_CODE} from '../exit_code.js';
import {formatFault} from '../../core/config/files/index.js';

/**
 * Converts a failed request into an error with an exit code and a hint; faults
 * and conflicts come first.
 */
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
  const line = `${error.title}: ${error.message} ${error.hint}`;
  return new CliError([...formatDetails(details), line].join('\n'), {
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

/** Formats the details of a refused publication: the faults, or both texts of each conflict. */
function formatDetails(details: unknown): string[] {
  const {faults = [], conflicts = []} = (details ??
    {}) as PublishRefusalDetails;
  const texts = conflicts.flatMap(conflict => [
    `--- ${conflict.service}, by ${conflict.theirOperator} at revision ${conflict.theirRevision}`,
    conflict.theirs ?? '(removed)',
    `+++ ${conflict.service}, yours`,
    conflict.yours ?? '(removed)',
  ]);
  return [...faults.map(formatFault), ...texts];
}
