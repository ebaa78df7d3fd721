import type {EventOf, NodeEvent} from '../events/types.js';
import type {OperatorAnswer} from './operator_answer.js';
import type {Step} from '../state/types.js';
import {createRefusal} from '../errors/index.js';
import {describeReplicas} from './describe_replicas.js';
import {describeServices} from './describe_services.js';
import {describeStatus} from './describe_status.js';
import {recordAudit} from '../audit/index.js';
import {startDrain} from '../drain/index.js';

/**
 * Answers operators' requests for status, services and replicas, and drains this
 * node. The config part of the reducer handles publications and the configuration,
 * the audit part handles the audit trail.
 */
export function reduceOperators(step: Step, event: NodeEvent): void {
  if (event.type !== 'operatorAsked') return;
  const answer = createAnswer(step, event);
  if (!answer) return;
  const {operationId} = event;
  step.effects.push({type: 'operatorAnswer', operationId, answer});
}

function createAnswer(
  step: Step,
  event: EventOf<'operatorAsked'>,
): OperatorAnswer | undefined {
  const {request} = event;
  switch (request.kind) {
    case 'status':
      return {kind: 'ok', data: describeStatus(step.state, step.nowMs)};
    case 'services':
      return {kind: 'ok', data: describeServices(step.state)};
    case 'replicas':
      return {kind: 'ok', data: describeReplicas(step.state)};
    case 'drain':
      return drain(step, event.operator, request.node);
    default:
      return undefined;
  }
}

function drain(step: Step, operator: string, node: string): OperatorAnswer {
  const {self, drain: state} = step.state;
  if (node !== self.nodeId) {
    const refusal = createRefusal('NodeNotFound', 'not-run', {params: {node}});
    return {kind: 'refused', refusal};
  }
  if (!state.draining) {
    recordAudit(step, {
      who: operator,
      action: 'drain',
      subject: node,
      before: 'serving',
      after: 'draining',
    });
    startDrain(step);
  }
  return {kind: 'ok', data: {node, phase: 'draining'}};
}
