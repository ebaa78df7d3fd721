import {createHash} from 'node:crypto';
import type {ConfigFile} from '../core/config/files/index.js';
import {DEV_SECRETS} from './dev_secrets.js';

const sha256 = (text: string) =>
  createHash('sha256').update(text).digest('hex');

/** Configuration files that the development deployment publishes by default. */
export const DEV_FILES: readonly ConfigFile[] = [
  {
    path: 'organisations.ini',
    text: `[organisation.bakery]
tokenSha256 = ${sha256(DEV_SECRETS.bakeryToken)}
maxRequestsPerSecond = 500
maxInFlight = 500

[organisation.stable]
tokenSha256 = ${sha256(DEV_SECRETS.stableToken)}
maxRequestsPerSecond = 500
maxInFlight = 500
`,
  },
  {
    path: 'chat/service.ini',
    text: `[service]
name = chat
kind = model
organisations = bakery, stable
timeout = 20s

[model]
model = toy
version = 1
replicas = 4
vmsPerReplica = 2
slotsPerReplica = 8
`,
  },
  {
    path: 'orders/service.ini',
    text: `[service]
name = orders
kind = application
organisations = bakery, stable
timeout = 5s
unrepeatable = true

[application]
slotsPerEngine = 16
`,
  },
];
