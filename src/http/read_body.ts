import type {IncomingMessage} from 'node:http';

/** 'broken': the connection closed or failed before the end of the body. */
type BodyFault = 'too-large' | 'broken';

/** Reads a complete request body into memory. Never rejects; failures resolve to a fault. */
export function readBody(
  message: IncomingMessage,
  limitBytes: number,
): Promise<Buffer | BodyFault> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    message.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > limitBytes) resolve('too-large');
      else chunks.push(chunk);
    });
    message.on('end', () => resolve(Buffer.concat(chunks)));
    message.on('error', () => resolve('broken'));
    message.on('close', () => resolve('broken'));
  });
}
