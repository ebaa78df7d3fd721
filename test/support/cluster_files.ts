import {createHash} from 'node:crypto';
import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';

/** Secrets that all test clusters use. */
export const SECRETS = {
  operatorToken: 'operator-token-of-tests',
  peerSecret: 'peer-secret-of-tests',
  callerToken: 'caller-token-of-tests',
} as const;

/** Returns the lower-case hexadecimal SHA-256 of a text. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

interface NodeFile {
  readonly name: string;
  readonly zone: string;
  readonly callerPort: number;
  readonly controlPort: number;
  readonly platformPort: number;
  /** Additional lines by section. */
  readonly extra?: Readonly<Record<string, readonly string[]>>;
}

/** Returns the text of a node's settings file. */
export function formatNodeSettings(file: NodeFile): string {
  const extra = (section: string) => file.extra?.[section] ?? [];
  return [
    '[node]',
    `name = ${file.name}`,
    `zone = ${file.zone}`,
    'region = r1',
    `callerAddress = 127.0.0.1:${file.callerPort}`,
    `controlAddress = 127.0.0.1:${file.controlPort}`,
    ...extra('node'),
    '[platform]',
    `address = 127.0.0.1:${file.platformPort}`,
    ...extra('platform'),
    '[limits]',
    ...extra('limits'),
    '[secrets]',
    `operatorTokenSha256 = ${sha256(SECRETS.operatorToken)}`,
    `peerSecret = ${SECRETS.peerSecret}`,
    '[log]',
    'level = info',
    '',
  ].join('\n');
}

/** Configuration files that test clusters publish by default, by path. */
export const SERVICE_FILES: Readonly<Record<string, string>> = {
  'organisations.ini': `[organisation.shop]
tokenSha256 = ${sha256(SECRETS.callerToken)}
weight = 1
maxRequestsPerSecond = 1000
maxInFlight = 500
`,
  'chat.ini': `[service]
name = chat
kind = model
organisations = shop
timeout = 20s

[model]
model = toy
version = v1
replicas = 1
vmsPerReplica = 2
slotsPerReplica = 8
`,
  'orders.ini': `[service]
name = orders
kind = application
organisations = shop
timeout = 5s
unrepeatable = true

[application]
slotsPerEngine = 16
`,
};

/** Writes files to a folder, which is created when missing. */
export async function writeFiles(
  folder: string,
  files: Readonly<Record<string, string>>,
): Promise<void> {
  await mkdir(folder, {recursive: true});
  for (const [name, text] of Object.entries(files)) {
    await writeFile(join(folder, name), text);
  }
}
