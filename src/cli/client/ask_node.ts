import {OperatorClient} from '../../operators/index.js';
import type {OperatorRequest} from '../../core/operators/types.js';
import {describeFailure} from './describe_failure.js';

interface ClientArguments {
  readonly node: string;
  readonly token?: string | undefined;
  readonly operator: string;
}

/** Asks a node; throws a `CliError` that says what to do. */
export async function askNode<T>(
  options: ClientArguments,
  request: OperatorRequest,
): Promise<T> {
  const client = new OperatorClient({
    address: options.node,
    token: options.token ?? process.env['RHUBARBSTILE_TOKEN'] ?? '',
    operator: options.operator,
  });
  const answer = await client.ask<T>(request);
  if (answer.isErr()) throw describeFailure(answer.error);
  return answer.value;
}
