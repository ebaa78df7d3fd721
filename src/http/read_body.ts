import type {IncomingMessage} from 'node:http';

type BodyFault = 'too-large' | 'broken';

/** Reads a whole body into memory, up to a limit. */
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
