import {setTimeout as sleep} from 'node:timers/promises';
import type {OperatorFailure} from '../../operators/types.js';
import {OperatorClient} from '../../operators/index.js';
import type {OperatorRequest} from '../../core/operators/types.js';
import {describeFailure} from './describe_failure.js';

const MAX_TRIES = 10;
const RETRY_MS = 1000;

interface ClientArguments {
  readonly node: string;
  readonly token?: string | undefined;
  readonly operator: string;
}

/** Asks a node; throws a `CliError` that says what to do. A node that still starts is asked again. */
export async function askNode<T>(
  options: ClientArguments,
  request: OperatorRequest,
): Promise<T> {
  const client = new OperatorClient({
    address: options.node,
    token: options.token ?? process.env['RHUBARBSTILE_TOKEN'] ?? '',
    operator: options.operator,
  });
  for (let tries = 1; ; tries++) {
    const answer = await client.ask<T>(request);
    if (answer.isOk()) return answer.value;
    if (!isStarting(answer.error) || tries === MAX_TRIES) {
      throw describeFailure(answer.error);
    }
    await sleep(RETRY_MS);
  }
}

function isStarting(failure: OperatorFailure): boolean {
  if (failure.kind !== 'refused') return false;
  const {name, verdict} = failure.error;
  return name === 'NodeNotReady' && verdict === 'not-run';
}
