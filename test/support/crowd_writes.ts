import type {Socket} from 'node:net';
import type {LimitsWorld} from './limits_world.js';
import {writeEndlessly} from './write_endlessly.js';

const READ_BYTES = 64 * 1024;
export const FORWARDED =
  'Rhubarbstile-Forwarded-By: edge-2\r\nRhubarbstile-Prior-Runs: 0\r\n';
export const LISTENERS = [
  'ready',
  'directory',
  'callers',
  'metrics',
  'forwards',
  'documents',
] as const;

export type Listener = (typeof LISTENERS)[number];
/** Writes what a client of a crowd sends on a new connection. */
export type Write = (socket: Socket) => void;

/** Repeats a text up to the usual size of a read. */
export function fill(text: string): Buffer {
  return Buffer.from(text.repeat(Math.ceil(READ_BYTES / text.length)));
}

export function addressOf(world: LimitsWorld, listener: Listener): string {
  return listener === 'callers' ? world.node.front : world[listener];
}

/** A whole request without a body, as ordinary clients of the listener send it. */
export function requestTo(world: LimitsWorld, listener: Listener): string {
  const paths = {
    ready: '/readyz',
    directory: '/resolve',
    metrics: '/metrics',
    documents: '/engines',
  };
  if (listener === 'callers')
    return `${world.headOf('sound', 'safe', 'GET')}\r\n`;
  if (listener === 'forwards') {
    return `${world.headOf('sound', 'safe', 'GET')}${FORWARDED}\r\n`;
  }
  return `GET ${paths[listener]} HTTP/1.1\r\nHost: node\r\n\r\n`;
}

/** Writes the head of a request and all of its body but the last byte. */
export function writeShortBody(head: string, sizeBytes: number): Write {
  const body = Buffer.alloc(sizeBytes - 1, 'x');
  return socket => {
    socket.write(`${head}Content-Length: ${sizeBytes}\r\n\r\n`);
    socket.write(body);
  };
}

/** Writes a body in chunks without its last one. */
export function writeShortChunks(head: string, sizeBytes: number): Write {
  const chunk = Buffer.concat([
    Buffer.from(`${READ_BYTES.toString(16)}\r\n`),
    Buffer.alloc(READ_BYTES, 'x'),
    Buffer.from('\r\n'),
  ]);
  return socket => {
    socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
    for (let at = READ_BYTES; at < sizeBytes; at += READ_BYTES) {
      socket.write(chunk);
    }
  };
}

export function writeTinyChunks(head: string): Write {
  const chunks = fill('1\r\nx\r\n');
  return socket => {
    socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
    writeEndlessly(socket, chunks);
  };
}

/** Sends requests ahead without end. */
export function writePipeline(world: LimitsWorld, listener: Listener): Write {
  const requests = fill(requestTo(world, listener));
  return socket => writeEndlessly(socket, requests);
}
