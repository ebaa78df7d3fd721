import type {IncomingMessage} from 'node:http';
import type {BodyReservation} from './types.js';
import {BodyParts} from './body_parts.js';

/** 'broken': the connection closed or failed before the end of the body. 'no-memory' and 'stalled': its reservation ended. */
type BodyFault = 'too-large' | 'no-memory' | 'stalled' | 'broken';

/** Reads a complete request body into memory that it reserves. Never rejects; failures resolve to a fault. */
export function readBody(
  message: IncomingMessage,
  limitBytes: number,
  reservation?: BodyReservation,
): Promise<Buffer | BodyFault> {
  return new Promise(resolve => {
    const parts = new BodyParts();
    let sizeBytes = 0;
    let isOver = false;
    const drop = (fault: BodyFault) => {
      isOver = true;
      parts.clear();
      resolve(fault);
    };
    reservation?.onRefused(fault => {
      if (!isOver) drop(fault);
    });
    message.on('data', (chunk: Buffer) => {
      if (isOver) return;
      sizeBytes += chunk.length;
      if (sizeBytes > limitBytes) drop('too-large');
      else if (reservation?.add(chunk.length) === false) drop('no-memory');
      else parts.add(chunk);
    });
    message.on('end', () => {
      if (isOver) return;
      isOver = true;
      resolve(parts.join());
    });
    message.on('error', () => drop('broken'));
    message.on('close', () => {
      if (!isOver) drop('broken');
    });
  });
}
