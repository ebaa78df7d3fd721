import {setTimeout as sleep} from 'node:timers/promises';
import type {OperatorFailure} from '../../operators/types.js';
import {OperatorClient} from '../../operators/index.js';
import type {OperatorRequest} from '../../core/operators/types.js';
import {describeFailure} from './describe_failure.js';

const MAX_ATTEMPTS = 10;
const RETRY_DELAY_MS = 1000;

interface ClientArguments {
  readonly node: string;
  readonly token?: string | undefined;
  readonly operator: string;
}

/**
 * Sends an operator request to a node, with retries while the node is starting.
 * Throws a `CliError` for other failures.
 */
export async function callNode<T>(
  options: ClientArguments,
  request: OperatorRequest,
): Promise<T> {
  const client = new OperatorClient({
    address: options.node,
    token: options.token ?? process.env['RHUBARBSTILE_TOKEN'] ?? '',
    operator: options.operator,
  });
  for (let attempt = 1; ; attempt++) {
    const answer = await client.ask<T>(request);
    if (answer.isOk()) return answer.value;
    if (!isStarting(answer.error) || attempt === MAX_ATTEMPTS) {
      throw describeFailure(answer.error);
    }
    await sleep(RETRY_DELAY_MS);
  }
}

function isStarting(failure: OperatorFailure): boolean {
  if (failure.kind !== 'refused') return false;
  const {name, verdict} = failure.error;
  return name === 'NodeNotReady' && verdict === 'not-run';
}
