import type {CommandModule} from 'yargs';
import type {ReplicasAnswer} from '../../core/operators/types.js';
import {CliError} from '../cli_error.js';
import {EXIT_CODE} from '../exit_code.js';
import {Output} from '../output.js';
import {callNode, clientOptions} from '../client/index.js';
import {formatTable} from '../format_table.js';

type Arguments = Parameters<typeof callNode>[0] & {
  readonly json: boolean;
  readonly service?: string | undefined;
};

/** `replicas`: lists the replicas with their VMs, and the VMs that are in no replica. */
export const replicasCommand: CommandModule<object, Arguments> = {
  command: 'replicas',
  describe: 'List the replicas, their VMs, and the VMs that are in none',
  builder: yargs =>
    clientOptions(yargs)
      .option('service', {type: 'string', describe: 'Only of this service'})
      .example('$0 replicas --service chat', ''),
  handler: async options => {
    const all = await callNode<ReplicasAnswer>(options, {kind: 'replicas'});
    const answer = selectReplicas(all, options.service);
    new Output(options.json).print(answer, formatReplicas(answer));
  },
};

function selectReplicas(
  answer: ReplicasAnswer,
  service?: string,
): ReplicasAnswer {
  if (service === undefined) return answer;
  const replicas = answer.replicas.filter(one => one.service === service);
  if (replicas.length > 0) return {...answer, replicas};
  throw new CliError(
    `There is no replica of a service "${service}". Run "rhubarbstile services" to list the services.`,
    {exitCode: EXIT_CODE.refused, data: {service}},
  );
}

function formatReplicas({replicas, spareVms}: ReplicasAnswer): string {
  const rows = replicas.map(replica => [
    replica.replicaId,
    replica.service,
    replica.version,
    replica.state,
    replica.bar ?? '-',
    replica.domain,
    replica.fencingToken,
    replica.vms.join(','),
  ]);
  const columns = [
    'REPLICA',
    'SERVICE',
    'VERSION',
    'STATE',
    'BAR',
    'DOMAIN',
    'TOKEN',
    'VMS',
  ];
  const spare = `Spare VMs (${spareVms.length}): ${spareVms.join(', ') || 'none'}`;
  return `${formatTable(columns, rows)}\n${spare}`;
}
