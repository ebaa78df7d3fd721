import {request, type IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {OperatorFailure} from './operator_failure.js';
import type {OperatorRequest} from '../core/operators/types.js';
import {splitAddress} from '../http/index.js';

const TIMEOUT_MS = 20_000;

interface ClientOptions {
  /** `host:port` of a node's control address. */
  readonly address: string;
  readonly token: string;
  /** Name of the operator in the audit trail. */
  readonly operator: string;
}

/** Sends operators' requests to a node. */
export class OperatorClient {
  constructor(private readonly options: ClientOptions) {}

  /** Sends one request; failures are returned, never thrown. */
  ask<T>(asked: OperatorRequest): Promise<Result<T, OperatorFailure>> {
    const {address, token, operator} = this.options;
    const {kind, ...fields} = asked;
    const body = Buffer.from(JSON.stringify(fields));
    return new Promise(resolve => {
      const call = request({
        ...splitAddress(address),
        agent: false,
        method: 'POST',
        path: `/operator/${kind}`,
        timeout: TIMEOUT_MS,
        headers: {
          authorization: `Bearer ${token}`,
          'content-type': 'application/json',
          'content-length': body.length,
          'rhubarbstile-operator': operator,
        },
      });
      const fail = (error: Error) =>
        resolve(err({kind: 'unreachable', address, cause: error.message}));
      call.on('error', fail);
      call.on('timeout', () => call.destroy(new Error('no answer in time')));
      call.on('response', response => {
        response.on('error', fail);
        void readAnswer<T>(response, address).then(resolve);
      });
      call.end(body);
    });
  }
}

async function readAnswer<T>(
  response: IncomingMessage,
  address: string,
): Promise<Result<T, OperatorFailure>> {
  const status = response.statusCode ?? 0;
  let text = '';
  try {
    for await (const chunk of response) text += String(chunk);
    const answer = JSON.parse(text);
    if (status === 200) return ok(answer.data as T);
    if (answer.error) return err({kind: 'refused', address, ...answer});
  } catch {
    // Not an answer of a node.
  }
  return err({kind: 'protocol', address, status});
}
