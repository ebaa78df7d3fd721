import {get} from 'node:http';
import {gunzipSync} from 'node:zlib';
import type {Clock} from '../runtime/types.js';
import {ResponseSizeLimit, splitAddress} from '../http/index.js';

/** Limit after decompression; a configuration with thousands of routes takes several megabytes. */
const MAX_DECOMPRESSED_BYTES = 32 * 1024 * 1024;
/** Limit of the compressed response. */
const MAX_COMPRESSED_BYTES = 8 * 1024 * 1024;

interface FetchedDocument {
  readonly text: string;
  /** Time on this node's clock at which the store is known to have held this document; -Infinity when unknown. */
  readonly provenAtMs: number;
}

/** Fetches a document from another node. Never rejects: a failure resolves to an error that states its cause. */
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
            maxOutputLength: MAX_DECOMPRESSED_BYTES,
          });
          finish({
            text: bytes.toString(),
            // The peer computed the age after the request was sent, so this is a lower bound.
            provenAtMs: ageMs >= 0 ? startedAtMs - ageMs : -Infinity,
          });
        } catch (error) {
          finish(error as Error);
        }
      });
    });
    new ResponseSizeLimit(call, MAX_COMPRESSED_BYTES, () =>
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
