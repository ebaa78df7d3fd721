import {readFileSync} from 'node:fs';
import {hideBin} from 'yargs/helpers';
import yargs from 'yargs';
import type {ServiceName, VmId} from '../core/ids/index.js';
import type {VmRecord} from '../core/store/types.js';
import {ApplicationStandin, EngineStandin, PlatformStandin} from './index.js';
import {makeId} from '../core/ids/index.js';

const CACHE_BLOCKS = 4096;

/** Prints the addresses of the stand-ins to standard output as one JSON line. */
function printAddresses(addresses: Readonly<Record<string, string>>): void {
  process.stdout.write(`${JSON.stringify({listening: addresses})}\n`);
}

async function startPlatform(options: {
  port: number;
  vms?: string;
  weightsPerSecond: number;
}): Promise<void> {
  const vms = options.vms
    ? (JSON.parse(readFileSync(options.vms, 'utf8')) as VmRecord[])
    : [];
  const platform = new PlatformStandin({
    vms,
    weightTokensPerSecond: options.weightsPerSecond,
  });
  await platform.listen(options.port);
  printAddresses({platform: platform.address});
}

async function startEngines(options: {
  vm: string[];
  checksFencing: boolean;
  slots: number;
  tokensPerSecond: number;
  prefillTokensPerSecond: number;
  loadMs: number;
}): Promise<void> {
  const {vm, ...behaviour} = options;
  const fleet = new Map<VmId, EngineStandin>();
  const addresses: Record<string, string> = {};
  for (const text of vm) {
    const at = text.lastIndexOf(':');
    const vmId = makeId<VmId>(text.slice(0, at));
    const engine = new EngineStandin(
      {...behaviour, vmId, cacheBlocks: CACHE_BLOCKS},
      fleet,
    );
    await engine.listen(Number(text.slice(at + 1)));
    addresses[vmId] = engine.address;
  }
  printAddresses(addresses);
}

async function startApplication(options: {
  port: number;
  vm: string;
  service: string;
}): Promise<void> {
  const application = new ApplicationStandin({
    vmId: makeId<VmId>(options.vm),
    service: makeId<ServiceName>(options.service),
  });
  await application.listen(options.port);
  printAddresses({[options.vm]: application.address});
}

await yargs(hideBin(process.argv))
  .scriptName('standins')
  .command(
    'platform',
    'the platform: store, VM list, weight limit',
    command =>
      command
        .option('port', {type: 'number', default: 0})
        .option('vms', {type: 'string', describe: 'JSON file of VM records'})
        .option('weights-per-second', {type: 'number', default: 4}),
    options => startPlatform(options),
  )
  .command(
    'engine',
    'model engines, one per VM, each on its own port',
    command =>
      command
        .option('vm', {
          type: 'string',
          array: true,
          demandOption: true,
          describe: '<vmId>:<port>, may be repeated',
        })
        .option('checks-fencing', {type: 'boolean', default: false})
        .option('slots', {type: 'number', default: 8})
        .option('tokens-per-second', {type: 'number', default: 20})
        .option('prefill-tokens-per-second', {type: 'number', default: 5000})
        .option('load-ms', {type: 'number', default: 500}),
    options => startEngines(options),
  )
  .command(
    'application',
    'an application service on one VM',
    command =>
      command
        .option('port', {type: 'number', default: 0})
        .option('vm', {type: 'string', demandOption: true})
        .option('service', {type: 'string', demandOption: true}),
    options => startApplication(options),
  )
  .demandCommand(1)
  .strict()
  .parseAsync();
