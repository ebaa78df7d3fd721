import type {CommandModule} from 'yargs';
import type {ServicesAnswer} from '../../core/operators/types.js';
import {CliError} from '../cli_error.js';
import {EXIT_CODE} from '../exit_code.js';
import {Output} from '../output.js';
import {callNode, clientOptions} from '../client/index.js';
import {formatTable} from '../format_table.js';

type Arguments = Parameters<typeof callNode>[0] & {
  readonly json: boolean;
  readonly service?: string | undefined;
};
type Services = ServicesAnswer['services'];

/** `services [SERVICE]`: lists the services and the targets that serve them. */
export const servicesCommand: CommandModule<object, Arguments> = {
  command: 'services [service]',
  describe: 'List the services and the targets that serve them',
  builder: yargs =>
    clientOptions(yargs)
      .positional('service', {type: 'string', describe: 'Only this service'})
      .example('$0 services', '')
      .example('$0 services chat --json', ''),
  handler: async options => {
    const answer = await callNode<ServicesAnswer>(options, {kind: 'services'});
    const services = selectServices(answer.services, options.service);
    const data = {revision: answer.revision, services};
    new Output(options.json).print(data, formatServices(services));
  },
};

function selectServices(services: Services, name?: string): Services {
  if (name === undefined) return services;
  const selected = services.filter(service => service.name === name);
  if (selected.length > 0) return selected;
  const names = services.map(service => service.name).join(', ') || 'none';
  throw new CliError(`There is no service "${name}". Services: ${names}.`, {
    exitCode: EXIT_CODE.refused,
    data: {service: name},
  });
}

function formatServices(services: Services): string {
  const rows = services.map(service => [
    service.name,
    service.kind,
    service.version ?? '-',
    service.replicasWanted === undefined
      ? service.targetsServing
      : `${service.targetsServing}/${service.replicasWanted}`,
    formatBars(service.targetsBarred),
    service.slots,
    service.running,
    service.queued,
    service.unrepeatable ? 'at most once' : 'repeatable',
    service.organisations.join(','),
  ]);
  const columns = [
    'SERVICE',
    'KIND',
    'VERSION',
    'SERVING',
    'BARRED',
    'SLOTS',
    'RUNNING',
    'QUEUED',
    'RUNS',
    'ORGANISATIONS',
  ];
  return formatTable(columns, rows);
}

function formatBars(bars: Readonly<Record<string, number>>): string {
  const parts = Object.entries(bars).map(
    ([reason, count]) => `${count} ${reason}`,
  );
  return parts.join(', ') || '-';
}
