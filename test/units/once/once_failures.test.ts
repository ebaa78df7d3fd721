import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OnceWorld} from '../../support/once_world.js';

const SEED = 7;

function createWorld(): OnceWorld {
  return new OnceWorld(SEED, 2);
}

/** Occupies both targets of node `at`, so that its next requests wait in the queue. */
function fillTargets(once: OnceWorld, at: number): void {
  once.runMs = 1500;
  once.send(at, `filler-1-${at}`);
  once.send(at, `filler-2-${at}`);
  once.runFor(50);
}

test('a repeated key gets the stored response, at the same and at another node', () => {
  const once = createWorld();
  const first = once.send(0, 'k');
  once.runFor(100);
  const again = once.send(0, 'k');
  const elsewhere = once.send(1, 'k');
  once.runFor(100);
  assert.equal(once.answers.get(first)?.name, 'finished');
  assert.equal(once.answers.get(again)?.body, 'done');
  assert.equal(once.answers.get(elsewhere)?.body, 'done');
  assert.equal(once.runsOf('k'), 1);
});

test('a key sent to two nodes at the same time runs once', () => {
  const once = createWorld();
  const ids = [once.send(0, 'k'), once.send(1, 'k')];
  once.runFor(1000);
  assert.equal(once.runsOf('k'), 1);
  const verdicts = ids.map(id => once.answers.get(id)?.verdict);
  assert.ok(verdicts.includes('ran'), verdicts.join());
});

test('a queued request is refused when its key is sent again, and the newer request runs', () => {
  const once = createWorld();
  fillTargets(once, 0);
  const queued = once.send(0, 'k');
  once.runFor(50);
  const newer = once.send(1, 'k');
  once.runFor(3000);
  assert.equal(once.answers.get(queued)?.verdict, 'not-run');
  assert.equal(once.answers.get(newer)?.verdict, 'ran');
  assert.equal(once.runsOf('k'), 1);
});

test('a key held by a node that is killed before dispatch gets the verdict may-have-run and does not run', () => {
  const once = createWorld();
  fillTargets(once, 0);
  once.send(0, 'k');
  once.runFor(50);
  once.restart(0);
  const second = once.send(1, 'k');
  once.runFor(3000);
  assert.equal(once.answers.get(second)?.verdict, 'may-have-run');
  assert.equal(once.runsOf('k'), 0);
});

test('after a node is killed after dispatch, another node does not run the request', () => {
  const once = createWorld();
  once.runMs = 500;
  once.send(0, 'k');
  once.runFor(100);
  once.restart(0);
  const second = once.send(1, 'k');
  once.runFor(3000);
  assert.equal(once.answers.get(second)?.verdict, 'may-have-run');
  assert.equal(once.runsOf('k'), 1);
});

test('after a node is killed between the response and its record, another node does not run the request', () => {
  const once = createWorld();
  once.storeFaults.push('none', 'unavailable');
  const first = once.send(0, 'k');
  once.runFor(100);
  assert.equal(once.answers.get(first)?.name, 'finished');
  once.restart(0);
  const second = once.send(1, 'k');
  once.runFor(1000);
  assert.equal(once.answers.get(second)?.verdict, 'may-have-run');
  assert.equal(once.runsOf('k'), 1);
});

test('after a node is killed after the record, another node sends the stored response', () => {
  const once = createWorld();
  once.send(0, 'k');
  once.runFor(100);
  once.restart(0);
  const second = once.send(1, 'k');
  once.runFor(1000);
  assert.equal(once.answers.get(second)?.body, 'done');
  assert.equal(once.runsOf('k'), 1);
});

test('a claim is read back when the answer to its write is lost, and runs once', () => {
  const once = createWorld();
  once.storeFaults.push('lost');
  const first = once.send(0, 'k');
  once.runFor(1900);
  assert.equal(once.answers.get(first)?.name, 'finished');
  assert.equal(once.runsOf('k'), 1);
});

test('a node that was frozen past every timeout does not run a request that another node answered as may-have-run', () => {
  const once = createWorld();
  fillTargets(once, 0);
  once.send(0, 'k');
  const unasked = once.send(0, 'unasked');
  once.runFor(50);
  once.node(0).freeze();
  const second = once.send(1, 'k');
  once.runFor(60_000);
  assert.equal(once.answers.get(second)?.verdict, 'may-have-run');
  once.node(0).thaw();
  once.runFor(5000);
  assert.equal(once.runsOf('k'), 0);
  assert.equal(once.answers.get(unasked)?.name, 'DeadlinePassed');
  assert.equal(once.runsOf('unasked'), 0);
});

test('while the store is down an unrepeatable request is refused at once as not-run, with a retry time', () => {
  const once = createWorld();
  once.setStoreDown(true);
  const refused = once.send(0, 'k');
  once.runFor(10);
  const answer = once.answers.get(refused);
  assert.equal(answer?.name, 'OnceLedgerUnavailable');
  assert.equal(answer?.verdict, 'not-run');
  assert.ok(answer?.retryAfterMs);
  once.setStoreDown(false);
  const second = once.send(1, 'k');
  once.runFor(100);
  assert.equal(once.answers.get(second)?.verdict, 'ran');
});

test('a key that was used with another body is refused', () => {
  const once = createWorld();
  once.send(0, 'k');
  once.runFor(100);
  const local = once.send(0, 'k', 'other');
  const remote = once.send(1, 'k', 'other');
  once.runFor(100);
  for (const id of [local, remote]) {
    assert.equal(once.answers.get(id)?.name, 'IdempotencyKeyReused');
  }
});

test('a run that exceeds its deadline is answered at the deadline, and its response is stored', () => {
  const once = createWorld();
  once.runMs = 5000;
  const first = once.send(0, 'k');
  once.runFor(2100);
  assert.equal(once.answers.get(first)?.name, 'DeadlinePassed');
  assert.equal(once.answers.get(first)?.verdict, 'may-have-run');
  const meanwhile = once.send(1, 'k');
  once.runFor(100);
  assert.equal(once.answers.get(meanwhile)?.name, 'AlreadyRunning');
  once.runFor(4000);
  const later = once.send(1, 'k');
  once.runFor(100);
  assert.equal(once.answers.get(later)?.body, 'done');
  assert.equal(once.runsOf('k'), 1);
});

test('a request that every target refused releases its key', () => {
  const once = createWorld();
  once.targetFaults.push('refuses', 'refuses');
  const first = once.send(0, 'k');
  once.runFor(2100);
  assert.equal(once.answers.get(first)?.verdict, 'not-run');
  once.runFor(100);
  once.restart(0);
  const second = once.send(1, 'k');
  once.runFor(100);
  assert.equal(once.answers.get(second)?.verdict, 'ran');
});

test('a draining node does not exit until the outcome of its last request is stored', () => {
  const once = createWorld();
  once.storeFaults.push('none', 'unavailable');
  once.send(0, 'k');
  once.runFor(30);
  once.node(0).dispatch({type: 'drainRequested', reason: 'test'});
  once.runFor(100);
  assert.equal(once.exited.has('n0'), false);
  once.runFor(4000);
  assert.equal(once.exited.has('n0'), true);
  once.restart(0);
  const second = once.send(1, 'k');
  once.runFor(100);
  assert.equal(once.answers.get(second)?.body, 'done');
});

test('the sweep removes only entries past their retention', () => {
  const once = createWorld();
  once.send(0, 'old');
  once.runFor(300_000);
  once.send(0, 'young');
  once.runFor(500_000);
  const states = once.platform
    .list('once/')
    .map(e => JSON.parse(e.value).state);
  assert.deepEqual(states, ['ran']);
  const reused = once.send(1, 'old');
  once.runFor(100);
  assert.equal(once.answers.get(reused)?.name, 'finished');
});
