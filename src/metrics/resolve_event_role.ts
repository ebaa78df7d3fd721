import type {UndatedEvent} from '../core/events/types.js';
import type {CoreArea} from '../core/events/types.js';

/** Role by the area of the core that made the store or peer call. */
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

/** Returns the role, as a metric label, that the handling of an event is attributed to; `tick` serves all roles. */
export function resolveEventRole(event: UndatedEvent): string {
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
