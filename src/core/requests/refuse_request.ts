import type {Refusal} from '../errors/index.js';
import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {countMetric} from '../state/index.js';
import {forgetRequest} from './forget_request.js';

/** Ends a request with a refusal; a detached one ends silently, since its caller was answered or left. */
export function refuseRequest(
  step: Step,
  record: RequestRecord,
  refusal: Refusal,
): void {
  const {requestId, service} = record.info;
  const {verdict} = refusal.body;
  forgetRequest(step, record);
  if (record.detached) return;
  step.effects.push({type: 'refuse', requestId, refusal});
  countMetric(step, 'requests', 1, {service, verdict});
}
