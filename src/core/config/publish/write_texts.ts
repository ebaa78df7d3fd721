import type {HeadJob} from './head_job.js';
import type {Step} from '../../state/types.js';
import {callConfigStore} from '../call_config_store.js';
import {configKey} from '../config_key.js';
import {swapHead} from './swap_head.js';
import {textRecord} from '../text_record.js';

/** Writes texts under their digests before the head refers to them. */
export function writeTexts(
  step: Step,
  job: HeadJob,
  keys: readonly string[],
): void {
  job.phase = 'writing';
  for (const key of keys) {
    const part = job.next!.parts[key];
    const text = findText(step, job, key);
    if (!part || text === undefined) continue;
    job.waiting.add(key);
    callConfigStore(
      step,
      {purpose: 'job', jobId: job.jobId, step: 'text', key},
      {
        kind: 'compareAndSwap',
        key: configKey.storeKey(key, part.digest),
        expectedVersion: 0,
        value: textRecord.write(text),
      },
    );
  }
  if (job.waiting.size === 0) swapHead(step, job);
}

function findText(step: Step, job: HeadJob, key: string): string | undefined {
  const edit = job.edits.find(one => one.key === key);
  return edit?.text ?? step.state.config.texts.get(key)?.text;
}
