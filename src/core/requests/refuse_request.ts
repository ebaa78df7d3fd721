import type {Refusal} from '../errors/index.js';
import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {countMetric} from '../state/index.js';
import {removeRequest} from './remove_request.js';

/** Ends a request with a refusal; a detached one ends silently, since its caller was answered or left. */
export function refuseRequest(
  step: Step,
  record: RequestRecord,
  refusal: Refusal,
): void {
  const {requestId, service} = record.info;
  const {verdict} = refusal.body;
  removeRequest(step, record);
  if (record.isDetached) return;
  step.effects.push({type: 'refuse', requestId, refusal});
  countMetric(step, 'requests', 1, {service, verdict});
}
