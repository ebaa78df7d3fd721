import {it} from 'node:test';
import {SharedTimer} from '../../../src/serving/shared_timer.js';
import {waitFor} from '../../support/wait_for.js';

// Rule CONFIG: a node whose task had thrown ran no timed work any more.
it('a timed task that throws stops neither the others nor itself', async () => {
  const errors: unknown[] = [];
  const timer = new SharedTimer(
    {nowMs: () => performance.now()},
    () => false,
    error => errors.push(error),
  );
  let runCount = 0;
  timer.runEvery(50, () => {
    throw new Error('task');
  });
  timer.runEvery(50, () => void (runCount += 1));
  timer.start();
  try {
    await timer.wait(100);
    await waitFor('three runs', () => runCount >= 3 && errors.length >= 3);
  } finally {
    timer.close();
  }
});
