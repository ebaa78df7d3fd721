import type {Refusal} from '../errors/index.js';
import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {countMetric} from '../state/index.js';
import {forgetRequest} from './forget_request.js';

/** Gives a request its final answer, a refusal, at once. */
export function refuseRequest(
  step: Step,
  record: RequestRecord,
  refusal: Refusal,
): void {
  forgetRequest(step, record);
  step.effects.push({
    type: 'refuse',
    requestId: record.info.requestId,
    refusal,
  });
  countMetric(step, 'requests', 1, {
    service: record.info.service,
    verdict: refusal.body.verdict,
  });
}
