import type {IncomingHttpHeaders} from 'node:http';
import type {ServingContext} from './types.js';
import type {VmId} from '../core/ids/index.js';
import {findLimitPerS} from '../core/serving/index.js';

interface ResponseSource {
  readonly vmId: VmId;
  /** The response is that of a request that ran, so that a limit that it does not name has ended. */
  readonly hasRun: boolean;
}

/**
 * Reports to the core what an engine announces in the head of a response: that
 * it is leaving, that it accepts no requests for some time, how many it takes, or
 * that it is cold.
 * Does nothing when the response carries no news.
 */
export function dispatchAnnouncement(
  {wire, events, state, logger}: ServingContext,
  {vmId, hasRun}: ResponseSource,
  status: number,
  headers: IncomingHttpHeaders,
): void {
  const announced = wire.engines.readAnnouncement(status, headers);
  const {isLeaving, backoffMs, limitPerS, hasUnreadableLimit} = announced;
  const coldLeftMs = announced.coldLeftMs || undefined;
  if (hasUnreadableLimit) {
    logger.write('warn', 'routing', 'limit not understood', {vmId});
  }
  const isLimitOver =
    hasRun &&
    limitPerS === undefined &&
    !hasUnreadableLimit &&
    findLimitPerS(state, vmId) !== undefined;
  const hasNews =
    isLeaving ||
    backoffMs !== undefined ||
    limitPerS !== undefined ||
    coldLeftMs !== undefined ||
    isLimitOver;
  if (!hasNews) return;
  events.dispatch({
    type: 'engineAnnounced',
    vmId,
    isLeaving,
    backoffMs,
    limitPerS,
    isLimitOver,
    coldLeftMs,
  });
}
