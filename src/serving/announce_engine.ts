import type {IncomingHttpHeaders} from 'node:http';
import type {ServingContext} from './types.js';
import type {VmId} from '../core/ids/index.js';

/** Tells the core what an engine says of itself in the head of an answer. */
export function announceEngine(
  {wire, events}: ServingContext,
  vmId: VmId,
  status: number,
  headers: IncomingHttpHeaders,
): void {
  const announced = wire.engines.readAnnouncement(status, headers);
  if (!announced.isLeaving && announced.quietMs === undefined) return;
  events.dispatch({type: 'engineAnnounced', vmId, ...announced});
}
