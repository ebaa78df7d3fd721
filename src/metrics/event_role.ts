import type {UndatedEvent} from '../core/events/types.js';
import type {CoreArea} from '../core/events/types.js';

const AREA_ROLES: Readonly<Record<CoreArea, string>> = {
  once: 'entry',
  config: 'relay',
  membership: 'relay',
  targets: 'relay',
  replicas: 'steward',
  quarantine: 'entry',
  routing: 'broker',
  audit: 'audit',
};

/** The role that an event is handled for; `tick` is shared by all. */
export function eventRole(event: UndatedEvent): string {
  switch (event.type) {
    case 'storeResult':
    case 'peerAnswered':
      return AREA_ROLES[event.area];
    case 'peerExchanged':
    case 'peerAsked':
      return 'peers';
    case 'targetReported':
    case 'targetReportFailed':
    case 'targetCacheChanged':
      return 'observer';
    case 'orderResult':
      return 'steward';
    case 'operatorAsked':
      return 'operators';
    case 'tick':
      return 'tick';
    default:
      return 'entry';
  }
}
