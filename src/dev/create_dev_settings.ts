import {createHash} from 'node:crypto';
import type {Settings} from '../settings/types.js';
import {DEV_SECRETS} from './dev_secrets.js';
import {parseSettings} from '../settings/index.js';

interface DevNode {
  readonly name: string;
  readonly zone: string;
  readonly callerPort: number;
  readonly controlPort: number;
  readonly platformAddress: string;
  readonly logLevel: string;
}

/** Creates the settings of one development node, with the same checks as a settings file. */
export function createDevSettings(node: DevNode): Settings {
  const tokenSha256 = createHash('sha256')
    .update(DEV_SECRETS.operatorToken)
    .digest('hex');
  const text = `[node]
name = ${node.name}
zone = ${node.zone}
region = dev
callerAddress = 127.0.0.1:${node.callerPort}
controlAddress = 127.0.0.1:${node.controlPort}
[platform]
address = ${node.platformAddress}
[secrets]
operatorTokenSha256 = ${tokenSha256}
peerSecret = ${DEV_SECRETS.peerSecret}
[log]
level = ${node.logLevel}
`;
  return parseSettings(
    `${node.name}.ini`,
    text,
    () => undefined,
  )._unsafeUnwrap();
}
