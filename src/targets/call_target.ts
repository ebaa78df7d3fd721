import type {Agent} from 'node:http';
import {request} from 'node:http';
import type {Socket} from 'node:net';
import type {TargetCall} from './target_call.js';
import {splitAddress} from './split_address.js';

const MAX_RESPONSE_BYTES = 1024 * 1024;

interface CallOptions {
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  readonly timeoutMs: number;
  /** Pool of keep-alive connections; without it the call opens a new one. */
  readonly agent?: Agent;
  /** A connection that is already open, used instead of an agent. */
  readonly socket?: Socket;
}

/**
 * Calls a control path of a target. Never rejects: a failure, a time-out or a
 * response above 1 MiB is reported as `failure`.
 */
export function callTarget(options: CallOptions): Promise<TargetCall> {
  const {address, method, path, body, timeoutMs, agent, socket} = options;
  return new Promise(resolve => {
    let isSent = false;
    const call = request({
      ...splitAddress(address),
      method,
      path,
      ...(agent ? {agent} : {agent: false}),
      ...(socket && {createConnection: () => socket}),
      headers: body === undefined ? {} : createBodyHeaders(body),
    });
    const timer = setTimeout(
      () => call.destroy(new Error('timeout')),
      timeoutMs,
    );
    const finish = (result: TargetCall) => {
      clearTimeout(timer);
      resolve(result);
    };
    call.on('socket', assignedSocket => {
      if (!assignedSocket.connecting) isSent = true;
      else assignedSocket.once('connect', () => (isSent = true));
    });
    call.on('error', (error: NodeJS.ErrnoException) => {
      finish({failure: resolveFailure(error, isSent)});
    });
    call.on('response', response => {
      const chunks: Buffer[] = [];
      let sizeBytes = 0;
      response.on('data', (chunk: Buffer) => {
        sizeBytes += chunk.length;
        if (sizeBytes > MAX_RESPONSE_BYTES)
          call.destroy(new Error('too large'));
        else chunks.push(chunk);
      });
      response.on('error', () => finish({failure: 'lost'}));
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString();
        finish({status: response.statusCode ?? 0, body: text});
      });
    });
    call.end(body);
  });
}

function createBodyHeaders(body: string): Record<string, string | number> {
  return {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
}

function resolveFailure(
  {code}: NodeJS.ErrnoException,
  isSent: boolean,
): TargetCall['failure'] {
  if (code === 'ECONNREFUSED') return 'refused';
  return isSent ? 'lost' : 'unreachable';
}
