import {get} from 'node:http';
import {gunzipSync} from 'node:zlib';
import type {Clock} from '../runtime/types.js';
import {AnswerLimit, splitAddress} from '../http/index.js';

/** A configuration with thousands of routes has some megabytes. */
const MAX_UNPACKED_BYTES = 32 * 1024 * 1024;
/** The same, packed. */
const MAX_PACKED_BYTES = 8 * 1024 * 1024;

interface FetchedDocument {
  readonly text: string;
  /** When the store held this, by this node's clock; -Infinity: nobody can tell. */
  readonly provenAtMs: number;
}

/** Asks another node for a document; an error says why there is none. */
export function fetchDocument(
  clock: Clock,
  address: string,
  path: string,
  timeoutMs: number,
): Promise<FetchedDocument | Error> {
  const startedAtMs = clock.nowMs();
  const {host, port} = splitAddress(address);
  return new Promise(resolve => {
    const call = get({host, port, path, agent: false}, response => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', finish);
      response.on('end', () => {
        if (response.statusCode !== 200) {
          finish(new Error(`status ${response.statusCode}`));
          return;
        }
        const ageMs = Number(response.headers['rhubarbstile-age-ms'] ?? -1);
        try {
          const bytes = gunzipSync(Buffer.concat(chunks), {
            maxOutputLength: MAX_UNPACKED_BYTES,
          });
          finish({
            text: bytes.toString(),
            // The answer was made after the call was: the store held it at least as late.
            provenAtMs: ageMs >= 0 ? startedAtMs - ageMs : -Infinity,
          });
        } catch (error) {
          finish(error as Error);
        }
      });
    });
    new AnswerLimit(call, MAX_PACKED_BYTES, () =>
      call.destroy(new Error('bytes without end')),
    );
    const timer = setTimeout(
      () => call.destroy(new Error('timeout')),
      timeoutMs,
    );
    const finish = (result: FetchedDocument | Error) => {
      clearTimeout(timer);
      resolve(result);
    };
    call.on('error', finish);
  });
}
