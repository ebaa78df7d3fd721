import type {IncomingMessage} from 'node:http';

/** Colon, space and line end of one header line. */
const HEADER_OVERHEAD_BYTES = 4;

/** Size of the header lines as received. */
export function headerBytesOf({rawHeaders}: IncomingMessage): number {
  const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return textBytes + (rawHeaders.length / 2) * HEADER_OVERHEAD_BYTES;
}
