import type {EventOf, NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import {lendCredits} from './lend_credits.js';
import {sendDemands} from './send_demands.js';
import {applyCredits} from './apply_credits.js';

/** The credits part of the reducer: demands for slots of targets, and credits lent on them. */
export function reduceCredits(step: Step, event: NodeEvent): void {
  if (!step.state.admission.options.credits) return;
  if (event.type === 'tick') sendDemands(step);
  if (event.type === 'peerExchanged') receive(step, event);
}

function receive(step: Step, event: EventOf<'peerExchanged'>): void {
  for (const message of event.messages) {
    if (message.type === 'routing.credits') applyCredits(step, message);
    if (message.type !== 'routing.demand') continue;
    step.effects.push({
      type: 'peerSend',
      to: event.from,
      message: lendCredits(step, event.from, message),
      urgent: true,
    });
  }
}
