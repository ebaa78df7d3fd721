import {isIPv4} from 'node:net';
import type {z} from 'zod';
import {textField} from '../core/config/files/fields/index.js';

const MAX_PORT = 65_535;

/** `host:port` with an IPv4 address and a port from 1 to 65535. */
export function addressField(): z.ZodType<string> {
  return textField('an address such as 10.0.0.7:8080', text => {
    const at = text.lastIndexOf(':');
    const port = text.slice(at + 1);
    if (!/^\d{1,5}$/.test(port) || !isIPv4(text.slice(0, at))) return undefined;
    const isPort = Number(port) >= 1 && Number(port) <= MAX_PORT;
    return isPort ? text : undefined;
  });
}
