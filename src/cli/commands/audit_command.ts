import type {AuditAnswer} from '../../core/operators/types.js';
import type {CommandModule} from 'yargs';
import {Output} from '../output.js';
import {callNode, clientOptions} from '../client/index.js';
import {formatTable} from '../format_table.js';

type Arguments = Parameters<typeof callNode>[0] & {
  readonly json: boolean;
  readonly limit: number;
};

/** `audit`: lists the audit trail, newest record last. */
export const auditCommand: CommandModule<object, Arguments> = {
  command: 'audit',
  describe: 'Show who changed what and when',
  builder: yargs =>
    clientOptions(yargs)
      .option('limit', {
        type: 'number',
        default: 50,
        describe: 'Newest records to show',
      })
      .example('$0 audit --limit 10', ''),
  handler: async options => {
    const {limit} = options;
    const answer = await callNode<AuditAnswer>(options, {kind: 'audit', limit});
    new Output(options.json).print(answer, formatAudit(answer));
  },
};

function formatAudit({records, waiting, dropped}: AuditAnswer): string {
  const rows = records.map(record => [
    new Date(record.atMs).toISOString(),
    record.who,
    record.action,
    record.subject,
    record.before ?? '-',
    record.after ?? '-',
    record.node,
  ]);
  const columns = ['WHEN', 'WHO', 'ACTION', 'WHAT', 'BEFORE', 'AFTER', 'NODE'];
  const table = formatTable(columns, rows);
  if (waiting + dropped === 0) return table;
  return `${table}\n${waiting} records are not written yet, ${dropped} were dropped.`;
}
