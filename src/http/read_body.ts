import type {IncomingMessage} from 'node:http';
import {BodyParts} from './body_parts.js';

/** 'broken': the connection closed or failed before the end of the body. 'no-memory': `reserve` returned false. */
type BodyFault = 'too-large' | 'no-memory' | 'broken';

/** Reads a complete request body into memory, which `reserve` is asked for. Never rejects; failures resolve to a fault. */
export function readBody(
  message: IncomingMessage,
  limitBytes: number,
  reserve: (sizeBytes: number) => boolean = () => true,
): Promise<Buffer | BodyFault> {
  return new Promise(resolve => {
    const parts = new BodyParts();
    let sizeBytes = 0;
    let isDropped = false;
    const drop = (fault: BodyFault) => {
      isDropped = true;
      parts.clear();
      resolve(fault);
    };
    message.on('data', (chunk: Buffer) => {
      if (isDropped) return;
      sizeBytes += chunk.length;
      if (sizeBytes > limitBytes) drop('too-large');
      else if (!reserve(chunk.length)) drop('no-memory');
      else parts.add(chunk);
    });
    message.on('end', () => resolve(parts.join()));
    message.on('error', () => resolve('broken'));
    message.on('close', () => resolve('broken'));
  });
}
