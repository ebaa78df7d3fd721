import type {IncomingHttpHeaders} from 'node:http';
import type {ServingContext} from './types.js';
import type {VmId} from '../core/ids/index.js';

/**
 * Reports to the core what an engine announces in the head of a response: that
 * it is leaving, or that it accepts no requests for some time. Does nothing when
 * the response carries no announcement.
 */
export function dispatchAnnouncement(
  {wire, events}: ServingContext,
  vmId: VmId,
  status: number,
  headers: IncomingHttpHeaders,
): void {
  const announced = wire.engines.readAnnouncement(status, headers);
  if (!announced.isLeaving && announced.backoffMs === undefined) return;
  events.dispatch({type: 'engineAnnounced', vmId, ...announced});
}
