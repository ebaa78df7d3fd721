import type {PeerMessage} from '../core/peers/types.js';
import {MESSAGE_SCHEMAS} from './message_schemas.js';

/** Validates a message of a peer; undefined when it is malformed or of an unknown type. */
export function parsePeerMessage(value: unknown): PeerMessage | undefined {
  const {type} = (value ?? {}) as {type?: unknown};
  if (typeof type !== 'string') return undefined;
  if (!Object.hasOwn(MESSAGE_SCHEMAS, type)) return undefined;
  const schema = MESSAGE_SCHEMAS[type as PeerMessage['type']];
  return schema.safeParse(value).success ? (value as PeerMessage) : undefined;
}
