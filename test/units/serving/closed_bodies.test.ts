import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {AttemptId, NodeId, VmId} from '../../../src/core/ids/index.js';
import type {RouteKind} from '../../../src/core/access/types.js';
import type {ServingEffect} from '../../../src/core/serving/types.js';
import {
  ServingNodeHarness,
  createTestEngine,
} from '../../support/serving_node_harness.js';
import {makeId} from '../../../src/core/ids/index.js';

/** A closed body is decided on by then. */
const DECISION_MS = 1000;
/** The target is probed by then. */
const SETTLE_MS = 30;
/** A target that does not answer by then may have ended. */
const SILENCE_MS = 300;
/** Bodies that a killed process ends are seen to close within this time. */
const TOGETHER_MS = 100;

type StartAttempt = Extract<ServingEffect, {type: 'startAttempt'}>;

/** A node and a request whose body has closed at its target. */
class ClosedBody {
  readonly node: ServingNodeHarness;
  readonly attempt: StartAttempt;

  constructor(
    kind: RouteKind,
    options: {
      readonly drainMs?: number;
      /** Runs before the body closes. */
      readonly prepare?: (body: ClosedBody) => void;
    } = {},
  ) {
    const {drainMs = 0, prepare} = options;
    this.node = new ServingNodeHarness({drainMs}).start();
    this.attempt = this.send(kind);
    this.node.advance(200);
    prepare?.(this);
    this.node.effects.splice(0);
    this.close(this.attempt.attemptId);
  }

  /** Sends a request; a stream has its first event. */
  send(kind: RouteKind): StartAttempt {
    this.node.submitRequest(kind);
    const [attempt] = this.node.takeEffects('startAttempt');
    const {attemptId} = attempt!;
    if (kind === 'streaming') {
      this.node.dispatch({type: 'attemptProgress', attemptId, eventCount: 1});
    }
    return attempt!;
  }

  close(attemptId: AttemptId): void {
    this.node.dispatch({type: 'attemptClosed', attemptId, aliveMs: 0});
    this.node.nowMs += SETTLE_MS;
    this.node.dispatch({type: 'tick'});
  }

  /** Sends requests until one is at the same target. */
  sendBeside(kind: RouteKind): StartAttempt {
    for (;;) {
      const attempt = this.send(kind);
      if (attempt.vmId === this.attempt.vmId) return attempt;
    }
  }

  /** Reports the result of a probe of the target. */
  probe(outcome: 'answered' | 'refused' | 'silent', bornAtMs?: number): void {
    const {vmId} = this.attempt;
    const more = bornAtMs === undefined ? {} : {bornAtMs};
    this.node.dispatch({type: 'probeAnswered', vmId, outcome, ...more});
  }

  /** Reports what a peer found, `ageMs` ago. */
  reportOfPeer(isSilent: boolean, ageMs?: number): void {
    const nodeId = makeId<NodeId>('n1');
    const {vmId} = this.attempt;
    const report = {vmId, nodeId, isSilent};
    this.node.dispatch({
      type: 'digestReceived',
      digest: this.node.createPeerDigest({
        probeReports: [ageMs === undefined ? report : {...report, ageMs}],
      }),
    });
  }

  get isFinished(): boolean {
    const finished = this.node.effects.filter(
      ({type}) => type === 'finishAnswer',
    );
    return finished.length > 0;
  }

  get isCut(): boolean {
    return this.node.effects.some(
      ({type}) => type === 'cutAnswer' || type === 'refuse',
    );
  }

  get resumed(): StartAttempt | undefined {
    return this.node.effects.find(
      (effect): effect is StartAttempt => effect.type === 'startAttempt',
    );
  }

  /** Whether neither was decided yet. */
  get isOpen(): boolean {
    return !this.isFinished && !this.isCut && !this.resumed;
  }
}

/** The store's entry of an engine changes. */
function changeEngine(
  node: ServingNodeHarness,
  vmId: VmId,
  change: 'leaving' | 'removed' | 'restarted',
  revision = 20,
): void {
  const engine = {
    ...createTestEngine(Number(vmId.slice(1))),
    ...(change === 'leaving' ? {isLeaving: true} : {bornAtMs: 2}),
    revision,
  };
  const isListed = change !== 'removed';
  node.dispatch({
    type: 'fleetChanged',
    changes: [{vmId, revision, ...(isListed ? {engine} : {})}],
    revision,
  });
}

function markLeaving({node, attempt}: ClosedBody): void {
  changeEngine(node, attempt.vmId, 'leaving');
}

/** Leaves one engine in the store's list. */
function removeOthers(node: ServingNodeHarness, kept: VmId): void {
  const changes = [...node.state.engines.keys()]
    .filter(vmId => vmId !== kept)
    .map(vmId => ({vmId, revision: 15}));
  node.dispatch({type: 'fleetChanged', changes, revision: 15});
}

describe('a body that ends with its connection', () => {
  it('is complete where the path of this node alone refuses connections: another stream of its process goes on', () => {
    let beside: StartAttempt | undefined;
    const body = new ClosedBody('unsafe', {
      prepare: one => {
        beside = one.sendBeside('streaming');
      },
    });
    const {attemptId} = beside!;
    body.probe('refused');
    for (let event = 0; event < 2; event++) {
      body.node.advance(100);
      assert.ok(body.isOpen);
      body.node.dispatch({type: 'attemptProgress', attemptId, eventCount: 1});
    }
    body.node.advance(50);
    assert.ok(body.isFinished);
  });

  // Rule ORDER: events that were sent before the end, and got lost in transit, come in one burst.
  it('is not complete by a burst of events, or by those of a stream that is read late or began later', () => {
    for (const how of ['burst', 'delayed', 'later'] as const) {
      let beside: StartAttempt | undefined;
      const body = new ClosedBody('unsafe', {
        prepare: one => {
          if (how !== 'later') beside = one.sendBeside('streaming');
        },
      });
      beside ??= body.sendBeside('streaming');
      const {attemptId} = beside;
      body.node.effects.splice(0);
      body.probe('refused');
      for (let event = 0; event < 3; event++) {
        if (how !== 'burst' || event === 0) body.node.advance(100);
        body.node.dispatch({
          type: 'attemptProgress',
          attemptId,
          eventCount: 1,
          ...(how === 'delayed' ? {isDelayed: true} : {}),
        });
      }
      body.node.advance(DECISION_MS);
      assert.equal(body.isFinished, false, how);
    }
  });

  for (const kind of ['streaming', 'safe', 'unsafe'] as const) {
    it(`is complete once its target answers, ${kind}`, () => {
      const body = new ClosedBody(kind);
      assert.ok(body.isOpen);
      assert.equal(body.node.takeEffects('probeEngine').length, 1);
      body.probe('answered', 1);
      assert.ok(body.isFinished);
    });

    it(`is not complete if the target started anew, ${kind}`, () => {
      const body = new ClosedBody(kind);
      body.probe('answered', 2);
      assert.equal(body.isFinished, false);
      assert.equal(body.isOpen, false);
    });

    it(`is not complete if the store lists a new process, ${kind}`, () => {
      const body = new ClosedBody(kind);
      changeEngine(body.node, body.attempt.vmId, 'restarted');
      body.node.advance(50);
      assert.equal(body.isFinished, false);
      assert.equal(body.isOpen, false);
    });

    it(`is complete if the target was leaving, and nothing else can take the request, ${kind}`, () => {
      for (const change of ['leaving', 'removed'] as const) {
        const body = new ClosedBody(kind, {
          prepare: ({node, attempt}) => {
            removeOthers(node, attempt.vmId);
            changeEngine(node, attempt.vmId, change);
          },
        });
        body.probe('refused');
        body.node.advance(SILENCE_MS);
        assert.ok(body.isFinished, change);
        assert.equal(body.resumed, undefined);
      }
    });

    it(`is complete if nothing shows an end of the target and none other is there, after a bounded wait, ${kind}`, () => {
      const body = new ClosedBody(kind);
      removeOthers(body.node, body.attempt.vmId);
      for (let ms = 0; ms < DECISION_MS; ms += 50) {
        if (body.node.takeEffects('probeEngine').length > 0) {
          body.probe('silent');
        }
        body.node.advance(50);
      }
      assert.ok(body.isFinished);
    });

    it(`is not lost where this node's path refuses connections and no other target is there, ${kind}`, () => {
      const body = new ClosedBody(kind);
      removeOthers(body.node, body.attempt.vmId);
      body.reportOfPeer(true, 0);
      body.probe('refused');
      body.node.advance(200);
      body.reportOfPeer(false, 20);
      body.node.advance(50);
      assert.ok(body.isFinished);
      assert.equal(body.isCut, false);
    });
  }

  it('goes on at another target at once, if it may be resumed and its target refuses connections', () => {
    const body = new ClosedBody('streaming');
    body.probe('refused');
    assert.ok(body.resumed);
    assert.equal(body.isFinished, false);
  });

  for (const kind of ['streaming', 'safe'] as const) {
    it(`goes on at another target if its target answers no probe, ${kind}`, () => {
      const body = new ClosedBody(kind);
      body.probe('silent');
      assert.ok(body.isOpen);
      body.node.advance(SILENCE_MS);
      assert.ok(body.resumed);
    });
  }

  it('is cut after a bounded wait if its target refuses connections and it may not be repeated', () => {
    const body = new ClosedBody('unsafe');
    body.probe('refused');
    assert.ok(body.isOpen);
    body.node.advance(DECISION_MS);
    assert.ok(body.isCut);
    assert.equal(body.isFinished, false);
  });

  it('is complete where the path of this node alone refuses connections: a peer reaches its target', () => {
    const body = new ClosedBody('unsafe');
    body.reportOfPeer(true, 0);
    body.probe('refused');
    body.node.advance(200);
    assert.ok(body.node.state.steward.probeRequests.has(body.attempt.vmId));
    body.reportOfPeer(false, 20);
    body.node.advance(50);
    assert.ok(body.isFinished);
    body.node.advance(DECISION_MS);
    assert.equal(body.isCut, false);
  });

  it('is not complete by a report from before, or one without an age', () => {
    for (const ageMs of [600, undefined]) {
      const body = new ClosedBody('unsafe');
      body.probe('refused');
      body.node.advance(200);
      body.reportOfPeer(false, ageMs);
      body.node.advance(DECISION_MS);
      assert.equal(body.isFinished, false);
      assert.ok(body.isCut);
    }
  });

  it('is not complete if the target is found lost', () => {
    const body = new ClosedBody('unsafe');
    const {vmId} = body.attempt;
    body.node.advance(50);
    body.node.dispatch({
      type: 'digestReceived',
      digest: body.node.createPeerDigest({
        lostEngines: [{vmId, bornAtMs: 1, ageMs: 0}],
      }),
    });
    body.node.advance(50);
    assert.ok(body.isCut);
  });

  for (const kind of ['streaming', 'safe'] as const) {
    it(`goes on elsewhere if a target that was leaving refuses connections, ${kind}`, () => {
      const body = new ClosedBody(kind, {prepare: markLeaving});
      body.probe('refused');
      body.node.advance(TOGETHER_MS);
      assert.ok(body.resumed);
    });
  }

  it('is not complete if a leaving target cut a stream off at the same time', () => {
    let beside: StartAttempt | undefined;
    const body = new ClosedBody('unsafe', {
      prepare: one => {
        beside = one.sendBeside('streaming');
        markLeaving(one);
      },
    });
    const {attemptId} = beside!;
    body.node.dispatch({type: 'attemptFailed', attemptId, fault: 'broken'});
    body.probe('refused');
    body.node.advance(TOGETHER_MS);
    assert.equal(body.isFinished, false);
    assert.ok(body.isCut);
  });

  it('is complete if a leaving target resets a new connection at the same time', () => {
    let beside: StartAttempt | undefined;
    const body = new ClosedBody('unsafe', {
      prepare: one => {
        beside = one.sendBeside('unsafe');
        markLeaving(one);
      },
    });
    const {attemptId} = beside!;
    body.node.dispatch({type: 'attemptFailed', attemptId, fault: 'broken'});
    body.node.effects.splice(0);
    body.probe('refused');
    body.node.advance(TOGETHER_MS);
    assert.ok(body.isFinished);
  });

  // Rule ORDER: a leaving engine that was killed soon after it said so.
  it('is not complete if the target has not been leaving for long enough to end by itself', () => {
    for (const [leavingMs, isComplete] of [
      [200, false],
      [1900, true],
    ] as const) {
      const body = new ClosedBody('unsafe', {
        drainMs: 2000,
        prepare: one => {
          const [record] = [...one.node.state.requests.values()];
          Object.assign(record!, {deadlineAtMs: Infinity});
          markLeaving(one);
          one.node.advance(leavingMs);
        },
      });
      body.probe('refused');
      body.node.advance(DECISION_MS);
      assert.equal(body.isFinished, isComplete);
    }
  });

  it('is not complete because the entry of its target goes after the close', () => {
    const body = new ClosedBody('unsafe');
    body.probe('refused');
    body.node.advance(300);
    changeEngine(body.node, body.attempt.vmId, 'removed');
    body.node.advance(DECISION_MS);
    assert.equal(body.isFinished, false);
    assert.ok(body.isCut);
  });

  it('is complete if its target was leaving, and starts again within the wait', () => {
    const body = new ClosedBody('unsafe', {prepare: markLeaving});
    changeEngine(body.node, body.attempt.vmId, 'restarted', 21);
    body.node.advance(SILENCE_MS);
    assert.ok(body.isFinished);
  });

  it('is not complete by an answer that does not name the process, after a refusal or a restart', () => {
    const refused = new ClosedBody('unsafe');
    refused.probe('refused');
    refused.node.advance(300);
    refused.probe('answered');
    assert.equal(refused.isFinished, false);
    const restarted = new ClosedBody('unsafe');
    changeEngine(restarted.node, restarted.attempt.vmId, 'restarted');
    restarted.probe('answered');
    assert.equal(restarted.isFinished, false);
  });

  it('is not complete by the answer to a probe that was sent before it closed, whoever sent it', () => {
    let beside: StartAttempt | undefined;
    const body = new ClosedBody('unsafe', {
      prepare: one => {
        beside = one.sendBeside('unsafe');
      },
    });
    const {node, attempt} = body;
    const probedAtMs = node.nowMs;
    node.nowMs += 5;
    body.close(beside!.attemptId);
    node.dispatch({
      type: 'probeAnswered',
      vmId: attempt.vmId,
      outcome: 'answered',
      bornAtMs: 1,
      ageMs: node.nowMs - probedAtMs,
    });
    const finished = node.takeEffects('finishAnswer');
    assert.deepEqual(
      finished.map(({attemptId}) => attemptId),
      [attempt.attemptId],
    );
  });

  // A repeatable request that went on elsewhere as a precaution was taken for a cut of another one.
  it('is complete at a leaving target beside a stream that goes on elsewhere', () => {
    let beside: StartAttempt | undefined;
    const body = new ClosedBody('unsafe', {
      prepare: one => {
        beside = one.sendBeside('streaming');
        markLeaving(one);
      },
    });
    body.close(beside!.attemptId);
    body.probe('refused');
    body.node.advance(TOGETHER_MS);
    assert.ok(body.resumed);
    const finished = body.node.takeEffects('finishAnswer');
    assert.deepEqual(
      finished.map(({attemptId}) => attemptId),
      [body.attempt.attemptId],
    );
  });

  it('is complete without another run if a peer reached its target since', () => {
    const body = new ClosedBody('safe');
    body.node.advance(150);
    body.reportOfPeer(false, 10);
    body.probe('refused');
    assert.ok(body.isFinished);
    assert.equal(body.resumed, undefined);
  });

  // Rule BUDGET: a request that crashes its engines has to be known by their losses.
  it('is part of the report of the crash that ended it', () => {
    const body = new ClosedBody('unsafe');
    const [record] = [...body.node.state.requests.values()];
    const {fingerprint} = record!.request;
    const {vmId} = body.attempt;
    for (let ms = 0; ms < 3000; ms += 50) {
      for (const probe of body.node.takeEffects('probeEngine')) {
        const outcome = probe.vmId === vmId ? 'refused' : 'answered';
        body.node.dispatch({type: 'probeAnswered', vmId: probe.vmId, outcome});
      }
      body.node.advance(50);
    }
    assert.ok(body.node.state.lostEngines.has(vmId));
    const runs = [...body.node.state.crashes.reports.values()].flatMap(
      report => [...report.runs.keys()],
    );
    assert.ok(runs.includes(fingerprint));
  });

  // Whole answers of engines at their limit of connections took the path down.
  it('takes a target that answers no probe neither for unreachable nor for lost', () => {
    const body = new ClosedBody('unsafe');
    const others = [0, 1, 2, 3].map(() => body.send('unsafe'));
    for (const {attemptId} of others) body.close(attemptId);
    for (let ms = 0; ms < DECISION_MS; ms += 50) {
      for (const {vmId, isForClose} of body.node.takeEffects('probeEngine')) {
        body.node.dispatch({
          type: 'probeAnswered',
          vmId,
          outcome: 'silent',
          isForClose,
        });
      }
      body.node.advance(50);
    }
    for (const path of body.node.state.reachability.paths.values()) {
      assert.equal(path.doubtedSinceMs, undefined);
    }
    assert.equal(body.node.state.lostEngines.size, 0);
    assert.ok(body.isFinished);
  });

  it('requests no more probes of peers once its caller has left', () => {
    const body = new ClosedBody('streaming', {
      prepare: ({node, attempt}) => removeOthers(node, attempt.vmId),
    });
    const {requestId, vmId} = body.attempt;
    body.reportOfPeer(true, 0);
    body.probe('refused');
    body.node.dispatch({type: 'callerGone', requestId});
    body.node.advance(10_000);
    assert.equal(body.node.state.steward.probeRequests.has(vmId), false);
  });

  it('is decided on at the deadline, and when the node exits', () => {
    for (const isRefused of [false, true]) {
      for (const end of ['deadline', 'exit'] as const) {
        const body = new ClosedBody('unsafe');
        if (isRefused) body.probe('refused');
        const {node} = body;
        const [record] = [...node.state.requests.values()];
        if (end === 'deadline') {
          node.nowMs = record!.deadlineAtMs;
        } else {
          node.state.leavingSinceMs = node.nowMs - node.state.bounds.graceMs;
        }
        node.dispatch({type: 'tick'});
        assert.equal(body.isFinished, !isRefused, end);
        assert.equal(body.isCut, isRefused, end);
      }
    }
  });

  // An answer that arrived just before its deadline was given up, or one that a killed engine cut off passed on.
  it('waits for one probe where it closes just before the deadline', () => {
    for (const outcome of ['answered', 'refused', 'silent'] as const) {
      const node = new ServingNodeHarness().start();
      node.submitRequest('unsafe');
      const [attempt] = node.takeEffects('startAttempt');
      const {attemptId, vmId} = attempt!;
      const [record] = [...node.state.requests.values()];
      node.nowMs = record!.deadlineAtMs - 1;
      node.dispatch({type: 'attemptClosed', attemptId, aliveMs: 0});
      node.advance(50);
      assert.equal(node.takeEffects('probeEngine').length, 1);
      assert.equal(node.takeEffects('refuse').length, 0);
      node.dispatch({type: 'probeAnswered', vmId, outcome, isForClose: true});
      if (outcome !== 'answered') node.advance(200);
      const isWhole = outcome !== 'refused';
      assert.equal(node.takeEffects('finishAnswer').length, isWhole ? 1 : 0);
      assert.equal(node.takeEffects('refuse').length, isWhole ? 0 : 1);
    }
  });

  it('is given up at the deadline if it could not be completed', () => {
    const body = new ClosedBody('unsafe');
    body.probe('answered', 1);
    assert.ok(body.isFinished);
    const [record] = [...body.node.state.requests.values()];
    body.node.nowMs = record!.deadlineAtMs;
    body.node.dispatch({type: 'tick'});
    assert.equal(body.node.state.requests.size, 0);
  });

  it('waits no longer when its caller leaves', () => {
    const body = new ClosedBody('streaming');
    const {requestId} = body.attempt;
    body.node.dispatch({type: 'callerGone', requestId});
    assert.equal(body.node.takeEffects('cancelAttempt').length, 1);
    body.probe('answered', 1);
    assert.equal(body.isFinished, false);
  });

  it('keeps its stream from being moved as a stalled one', () => {
    const body = new ClosedBody('streaming');
    removeOthers(body.node, body.attempt.vmId);
    body.node.advance(DECISION_MS - 100);
    assert.ok(body.isOpen);
    body.node.advance(100);
    assert.ok(body.isFinished);
  });

  it('shares one probe with others that its target closed', () => {
    const node = new ServingNodeHarness().start();
    const attempts = [0, 1, 2, 3, 4, 5].map(() => {
      node.submitRequest('unsafe');
      return node.takeEffects('startAttempt')[0]!;
    });
    for (const {attemptId} of attempts) {
      node.dispatch({type: 'attemptClosed', attemptId, aliveMs: 0});
    }
    node.nowMs += SETTLE_MS;
    node.dispatch({type: 'tick'});
    const targets = new Set(attempts.map(({vmId}) => vmId));
    assert.equal(node.takeEffects('probeEngine').length, targets.size);
  });
});
