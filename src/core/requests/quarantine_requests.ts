import type {Fingerprint} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {cancelAttempt} from './cancel_attempt.js';
import {checkQuarantine} from '../quarantine/index.js';
import {recordOnceOutcome} from '../once/index.js';
import {refuseRequest} from './refuse_request.js';

/** Refuses every live request with a quarantined fingerprint; running attempts are cancelled. */
export function quarantineRequests(step: Step, fingerprint: Fingerprint): void {
  for (const record of step.state.requests.byId.values()) {
    const {info} = record;
    if (info.fingerprint !== fingerprint) continue;
    cancelAttempt(step, record);
    if (info.unrepeatable) recordOnceOutcome(step, record);
    const refusal = checkQuarantine(step, info);
    if (!refusal) continue;
    const body = {...refusal.body, verdict: record.verdict};
    refuseRequest(step, record, {...refusal, body});
  }
}
