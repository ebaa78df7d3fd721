import {createHash} from 'node:crypto';
import type {Fingerprint} from '../../core/ids/index.js';
import type {CallerHead} from '../types.js';
import {makeId} from '../../core/ids/index.js';

const FINGERPRINT_LENGTH = 16;

/** Identifies a request across retries: hash of its path, API key and body. */
export function fingerprintOf(
  path: string,
  head: CallerHead,
  body: Buffer,
): Fingerprint {
  const hash = createHash('sha1')
    .update(`${path}\n${head.apiKey ?? ''}\n`)
    .update(body)
    .digest('base64url');
  return makeId<Fingerprint>(hash.slice(0, FINGERPRINT_LENGTH));
}
