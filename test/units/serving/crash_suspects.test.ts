import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {
  Fingerprint,
  PromptPartId,
  ServiceName,
  VmId,
} from '../../../src/core/ids/index.js';
import {ServingNodeHarness} from '../../support/serving_node_harness.js';
import {createDigest} from '../../../src/core/serving/create_digest.js';
import {digestCodec} from '../../../src/serving/digest_codec.js';
import {makeId} from '../../../src/core/ids/index.js';
import {retryBudget} from '../../../src/core/serving/index.js';

const BAD = makeId<PromptPartId>('bad');
const SHARED = makeId<PromptPartId>('shared');

/** A crash of an engine that a peer reports, with the requests that were running there. */
function crashReport(
  at: number,
  runs: readonly [string, readonly PromptPartId[]][],
) {
  return {
    vmId: makeId<VmId>(`lost-${at}`),
    bornAtMs: 1,
    ageMs: 0,
    pool: 'desk',
    runs: runs.map(([fingerprint, sharedPartIds]) => ({
      fingerprint: makeId<Fingerprint>(fingerprint),
      sharedPartIds,
    })),
  };
}

/** Receives crash reports 400 ms apart, while other requests are answered after each. */
function receiveCrashes(
  node: ServingNodeHarness,
  reports: readonly ReturnType<typeof crashReport>[],
  answeredEach = 5,
): void {
  for (const report of reports) {
    node.dispatch({
      type: 'digestReceived',
      digest: node.createPeerDigest({crashReports: [report]}),
    });
    answerRequests(node, answeredEach);
    node.advance(400);
  }
}

function answerRequests(node: ServingNodeHarness, count: number): void {
  for (let answered = 0; answered < count; answered++) {
    node.submitRequest('safe');
    for (const {attemptId} of node.takeEffects('startAttempt')) {
      node.dispatch({type: 'attemptEnded', attemptId, status: 200});
    }
  }
}

function badPart(at: number): PromptPartId {
  return makeId<PromptPartId>(`bad-${at % 3}`);
}

/** Crashes of engines that were each running two requests with one of three parts, and a sound one. */
function crashesOfThreeParts(): ReturnType<typeof crashReport>[] {
  return Array.from({length: 12}, (_, at) =>
    crashReport(at, [
      [`f${at}`, [badPart(at)]],
      [`g${at}`, [badPart(at)]],
      [`s${at}`, [makeId<PromptPartId>(`sound-${at}`)]],
    ]),
  );
}

/** Receives from a peer that the bad part is a suspect. */
function receiveSuspect(node: ServingNodeHarness): void {
  node.dispatch({
    type: 'digestReceived',
    digest: node.createPeerDigest({
      suspects: [
        {
          marker: BAD,
          kind: 'part',
          losses: 3,
          leftMs: 60_000,
          lastLossAgeMs: 100,
        },
      ],
    }),
  });
}

describe('suspects of crashes', () => {
  it('are found from the reports of several nodes, of which each saw one crash', () => {
    const node = new ServingNodeHarness().start();
    receiveCrashes(node, [
      crashReport(1, [['f1', [SHARED, BAD]]]),
      crashReport(2, [['f2', [SHARED, BAD]]]),
      crashReport(3, [['f3', [SHARED, BAD]]]),
    ]);
    assert.deepEqual([...node.state.crashes.suspects.keys()], [BAD]);
    node.submitRequest('streaming', {sharedPartIds: [SHARED, BAD]});
    assert.equal(node.takeEffects('startAttempt').length, 0);
    const [refusal] = node.takeEffects('refuse');
    assert.equal(refusal?.status, 503);
    assert.ok((refusal?.retryAfterMs ?? 0) > 50_000);
    node.submitRequest('streaming', {sharedPartIds: [SHARED]});
    assert.equal(node.takeEffects('startAttempt').length, 1);
  });

  it('are found although other parts crash as many engines', () => {
    const node = new ServingNodeHarness().start();
    answerRequests(node, 1);
    receiveCrashes(node, crashesOfThreeParts(), 2);
    const markers = [...node.state.crashes.suspects.keys()];
    assert.deepEqual(markers.sort(), ['bad-0', 'bad-1', 'bad-2']);
  });

  it('do not include parts for crashes before a node started, while few other runs survive', () => {
    const node = new ServingNodeHarness().start();
    const crashReports = crashesOfThreeParts().map((report, at) => ({
      ...report,
      ageMs: 400 * (12 - at),
    }));
    node.dispatch({
      type: 'digestReceived',
      digest: node.createPeerDigest({crashReports}),
    });
    answerRequests(node, 24);
    node.advance(1000);
    assert.deepEqual([...node.state.crashes.suspects.keys()], []);
  });

  it('do not include parts that were sound before, while few other runs survive', () => {
    const node = new ServingNodeHarness().start();
    answerRequests(node, 1);
    const sharedPartIds = [0, 1, 2].map(badPart);
    node.submitRequest('streaming', {sharedPartIds});
    const {attemptId} = node.takeEffects('startAttempt')[0]!;
    node.advance(10);
    node.dispatch({type: 'attemptProgress', attemptId, eventCount: 1});
    node.dispatch({type: 'attemptProgress', attemptId, eventCount: 1});
    receiveCrashes(node, crashesOfThreeParts(), 2);
    assert.deepEqual([...node.state.crashes.suspects.keys()], []);
  });

  it('do not include a sound request that was lost twice beside a crashing part', () => {
    const node = new ServingNodeHarness().start();
    const innocent: [string, PromptPartId[]] = ['innocent', [SHARED]];
    receiveCrashes(node, [
      crashReport(1, [['f1', [SHARED, BAD]], innocent]),
      crashReport(2, [['f2', [SHARED, BAD]], innocent]),
      crashReport(3, [['f3', [SHARED, BAD]]]),
    ]);
    const fingerprint = makeId<Fingerprint>('innocent');
    assert.equal(node.state.crashes.suspects.has(fingerprint), false);
    node.submitRequest('streaming', {fingerprint, sharedPartIds: [SHARED]});
    assert.equal(node.takeEffects('startAttempt').length, 1);
  });

  it('do not include the parts of one request that crashes each engine', () => {
    const node = new ServingNodeHarness().start();
    receiveCrashes(
      node,
      [1, 2, 3, 4].map(at => crashReport(at, [['same', [SHARED, BAD]]])),
    );
    assert.deepEqual(
      [...node.state.crashes.suspects.keys()],
      [makeId<Fingerprint>('same')],
    );
  });

  it('do not include a part with which another request has begun to answer since', () => {
    const node = new ServingNodeHarness().start();
    receiveCrashes(node, [
      crashReport(1, [['f1', [BAD]]]),
      crashReport(2, [['f2', [BAD]]]),
    ]);
    node.submitRequest('streaming', {sharedPartIds: [BAD]});
    const {attemptId} = node.takeEffects('startAttempt')[0]!;
    node.advance(10);
    node.dispatch({type: 'attemptProgress', attemptId, eventCount: 1});
    node.dispatch({type: 'attemptProgress', attemptId, eventCount: 1});
    receiveCrashes(node, [crashReport(3, [['f3', [BAD]]])]);
    assert.equal(node.state.crashes.suspects.size, 0);
  });

  it('do not include a part of engines that crash at the same moment', () => {
    const node = new ServingNodeHarness().start();
    const crashReports = [1, 2, 3, 4, 5].map(at =>
      crashReport(at, [[`f${at}`, [SHARED]]]),
    );
    node.dispatch({
      type: 'digestReceived',
      digest: node.createPeerDigest({crashReports}),
    });
    receiveCrashes(node, []);
    node.advance(1000);
    assert.equal(node.state.crashes.suspects.size, 0);
  });

  it('end the wait of a queued request at once', () => {
    const node = new ServingNodeHarness().start();
    for (const vmId of node.state.targets.keys()) {
      node.state.announcements.backoffUntilMs.set(vmId, node.nowMs + 140);
    }
    node.submitRequest('streaming', {sharedPartIds: [BAD]});
    assert.equal(node.takeEffects('startAttempt').length, 0);
    receiveSuspect(node);
    node.advance(50);
    assert.equal(node.takeEffects('startAttempt').length, 0);
    assert.equal(node.takeEffects('refuse')[0]?.reason, 'crash-suspect');
  });

  it('are not taken over again from a peer that lags behind', () => {
    const node = new ServingNodeHarness().start();
    const innocent: [string, PromptPartId[]] = ['innocent', []];
    receiveCrashes(node, [
      crashReport(1, [['f1', [SHARED, BAD]], innocent]),
      crashReport(2, [['f2', [SHARED, BAD]], innocent]),
    ]);
    const marker = makeId<Fingerprint>('innocent');
    assert.ok(node.state.crashes.suspects.has(marker));
    const [entry] = createDigest(node.state, node.nowMs).suspects.filter(
      one => one.marker === marker,
    );
    receiveCrashes(node, [crashReport(3, [['f3', [SHARED, BAD]]])]);
    assert.equal(node.state.crashes.suspects.has(marker), false);
    const {lastLossAgeMs} = entry!;
    const late = {...entry!, lastLossAgeMs: lastLossAgeMs + 400};
    node.dispatch({
      type: 'digestReceived',
      digest: node.createPeerDigest({suspects: [late]}),
    });
    assert.equal(node.state.crashes.suspects.has(marker), false);
    const reports = node.effects.filter(
      effect =>
        effect.type === 'log' && effect.message.includes('peer reports'),
    );
    assert.deepEqual(reports, []);
  });

  it('do not include a request that a node of an earlier build reports with a single loss', () => {
    const node = new ServingNodeHarness().start();
    const marker = makeId<Fingerprint>('once');
    const entry = {
      marker,
      kind: 'request' as const,
      losses: 1,
      leftMs: 60_000,
      lastLossAgeMs: 0,
    };
    node.dispatch({
      type: 'digestReceived',
      digest: node.createPeerDigest({suspects: [entry]}),
    });
    node.submitRequest('safe', {fingerprint: marker});
    assert.equal(node.takeEffects('startAttempt').length, 1);
  });

  it('add nothing to the retries that are allowed when they are refused', () => {
    const node = new ServingNodeHarness().start();
    receiveSuspect(node);
    const service = makeId<ServiceName>('desk');
    const allowed = () =>
      retryBudget.usage(node.state, service, node.nowMs).allowed;
    const before = allowed();
    node.submitRequest('streaming', {sharedPartIds: [BAD]});
    assert.equal(node.takeEffects('refuse').length, 1);
    assert.equal(allowed(), before);
    node.submitRequest('streaming');
    assert.ok(allowed() > before);
  });

  it('are reported to peers from the latest loss on, however old the suspicion is', () => {
    const node = new ServingNodeHarness().start();
    const suspects = Array.from({length: 25}, (_, at) => ({
      marker: makeId<PromptPartId>(`part-${at}`),
      kind: 'part' as const,
      losses: 3,
      leftMs: 60_000,
      // The first ones have the latest losses.
      lastLossAgeMs: 100 * at,
    }));
    node.dispatch({
      type: 'digestReceived',
      digest: node.createPeerDigest({suspects}),
    });
    const reported = createDigest(node.state, node.nowMs).suspects;
    const markers = new Set(reported.map(({marker}) => marker));
    assert.equal(markers.size, 20);
    assert.ok(suspects.slice(0, 20).every(({marker}) => markers.has(marker)));
  });

  it('reach a peer that is new to this node with the reports behind them', () => {
    const node = new ServingNodeHarness().start();
    receiveCrashes(
      node,
      [1, 2, 3].map(at => crashReport(at, [[`f${at}`, [SHARED, BAD]]])),
    );
    node.advance(5000);
    assert.equal(createDigest(node.state, node.nowMs).crashReports.length, 0);
    node.state.lastNewPeerAtMs = node.nowMs;
    const bytes = digestCodec.encode(createDigest(node.state, node.nowMs));
    const peer = new ServingNodeHarness().start();
    const digest = {...digestCodec.decode(bytes)!, from: makeId<never>('n1')};
    peer.dispatch({type: 'digestReceived', digest});
    assert.equal(peer.state.crashes.reports.size, 3);
    peer.submitRequest('streaming', {sharedPartIds: [SHARED, BAD]});
    assert.equal(peer.takeEffects('startAttempt').length, 0);
  });
});
