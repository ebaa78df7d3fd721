import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {RouteKind} from '../../../src/core/access/types.js';
import {ServingNodeHarness} from '../../support/serving_node_harness.js';

/** The exit comes half a second before the end of this grace period. */
const GRACE_MS = 4000;
const CALLER_TIMEOUT_MS = 1900;

/** A node in calm whose requests of a kind have lately taken `durationMs`. */
function startNode(kind: RouteKind, durationMs: number): ServingNodeHarness {
  const node = new ServingNodeHarness({graceMs: GRACE_MS}).start();
  for (let at = 0; at < 5; at++) {
    submit(node, kind);
    const [attempt] = node.takeEffects('startAttempt');
    const {attemptId} = attempt!;
    if (kind === 'streaming') {
      node.dispatch({type: 'attemptProgress', attemptId, eventCount: 1});
    }
    for (let leftMs = durationMs; leftMs > 0; leftMs -= 100) {
      node.advance(100);
      if (kind !== 'streaming') continue;
      node.dispatch({type: 'attemptProgress', attemptId, eventCount: 1});
    }
    node.dispatch({type: 'attemptEnded', attemptId, status: 200});
  }
  return node;
}

function submit(node: ServingNodeHarness, kind: RouteKind): void {
  node.submitRequest(kind, {callerTimeoutMs: CALLER_TIMEOUT_MS});
}

describe('requests that come late in the grace period', () => {
  for (const kind of ['safe', 'unsafe', 'streaming'] as const) {
    it(`are refused as not run if they can't end before the exit, ${kind}`, () => {
      const node = startNode(kind, 1500);
      node.dispatch({type: 'leaveRequested'});
      node.advance(2500);
      submit(node, kind);
      assert.equal(node.takeEffects('startAttempt').length, 0);
      const [refusal] = node.takeEffects('refuse');
      assert.equal(refusal?.status, 503);
      assert.ok(refusal.retryAfterMs! > 0);
    });

    it(`are accepted if they usually end before the exit, ${kind}`, () => {
      const node = startNode(kind, 300);
      node.dispatch({type: 'leaveRequested'});
      node.advance(2500);
      submit(node, kind);
      assert.equal(node.takeEffects('startAttempt').length, 1);
    });
  }

  it('are refused by a node that does not know how long they take, if their time-out is after the exit', () => {
    const node = new ServingNodeHarness({graceMs: GRACE_MS}).start();
    node.dispatch({type: 'leaveRequested'});
    node.advance(1000);
    submit(node, 'unsafe');
    assert.equal(node.takeEffects('startAttempt').length, 1);
    node.advance(1000);
    submit(node, 'unsafe');
    assert.equal(node.takeEffects('startAttempt').length, 0);
  });

  it('get a final answer before the exit if they are still running', () => {
    for (const kind of ['safe', 'unsafe'] as const) {
      const node = startNode(kind, 300);
      node.dispatch({type: 'leaveRequested'});
      node.advance(2900);
      submit(node, kind);
      assert.equal(node.takeEffects('startAttempt').length, 1);
      node.takeEffects('refuse');
      node.advance(700);
      const types = node.effects.map(({type}) => type);
      const [refusal] = node.takeEffects('refuse');
      assert.equal(refusal?.status, 502, kind);
      assert.equal(refusal.retryAfterMs, undefined);
      assert.ok(types.indexOf('refuse') < types.indexOf('exit'));
    }
  });
});
