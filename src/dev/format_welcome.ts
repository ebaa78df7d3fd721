import type {DevCluster} from './dev_cluster.js';
import {DEV_SECRETS} from './dev_secrets.js';

/** Formats the addresses of a running development deployment, with example commands. */
export function formatWelcome(cluster: DevCluster): string {
  const nodes = cluster.nodes.map(({settings}) => settings.node);
  const first = nodes[0]!;
  const rows = nodes.map(
    node =>
      `  ${node.nodeId}  ${node.zone}  callers ${node.callerAddress}  control ${node.controlAddress}`,
  );
  const body =
    '{"model":"chat","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"a paper star"}]}';
  return [
    `${nodes.length} nodes run; services: chat (streams), orders (at most once).`,
    ...rows,
    '',
    'Chat:',
    `  curl -N http://${first.callerAddress}/v1/chat/completions -H 'Authorization: Bearer ${DEV_SECRETS.bakeryToken}' -H 'Content-Type: application/json' -d '${body}'`,
    'Order (the key makes it run at most once):',
    `  curl http://${first.callerAddress}/services/orders/orders -H 'Authorization: Bearer ${DEV_SECRETS.bakeryToken}' -H 'Idempotency-Key: order-1' -d '{"stars":3}'`,
    'Operate:',
    `  RHUBARBSTILE_TOKEN=${DEV_SECRETS.operatorToken} npx rhubarbstile status --node ${first.controlAddress}`,
    '',
    'Ctrl-C ends it.',
  ].join('\n');
}
