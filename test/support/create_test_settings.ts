import {createHash} from 'node:crypto';
import type {Settings} from '../../src/settings/types.js';
import {findUnusedPorts} from './find_unused_ports.js';
import {parseSettings} from '../../src/settings/index.js';

/** Operator token whose hash is in the test settings. */
export const OPERATOR_TOKEN = 'operator-token-of-the-tests';
export const PEER_SECRET = 'peer-secret-of-the-tests';

/** Text of a settings file with loopback addresses. */
export function formatTestSettings(
  name: string,
  ports: {readonly caller: number; readonly control: number},
  platformAddress = '127.0.0.1:9',
): string {
  const sha256 = createHash('sha256').update(OPERATOR_TOKEN).digest('hex');
  return `[node]
name = ${name}
zone = zone-a
region = waikato
callerAddress = 127.0.0.1:${ports.caller}
controlAddress = 127.0.0.1:${ports.control}
[platform]
address = ${platformAddress}
[secrets]
operatorTokenSha256 = ${sha256}
peerSecret = ${PEER_SECRET}
[log]
level = error
`;
}

/** Parsed settings of a node on free loopback ports. */
export async function createTestSettings(name: string): Promise<Settings> {
  const [caller, control] = await findUnusedPorts(2);
  const text = formatTestSettings(name, {caller: caller!, control: control!});
  return parseSettings(`${name}.ini`, text, () => undefined)._unsafeUnwrap();
}
