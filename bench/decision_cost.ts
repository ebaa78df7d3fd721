import {createHash} from 'node:crypto';
import type {AttemptId, RequestId} from '../src/core/ids/index.js';
import type {Benchmark} from './benchmark.js';
import type {Effect} from '../src/core/effects/types.js';
import type {NodeState} from '../src/core/state/types.js';
import {createBenchNode} from './create_bench_node.js';
import {makeId} from '../src/core/ids/index.js';
import {reduce} from '../src/core/reduce.js';

const SMALL_TARGETS = 68;
const LARGE_TARGETS = 4800;
/** Requests in flight: above this number, the oldest one ends whenever one is sent. */
const IN_FLIGHT = 64;
const WARM_UP_REQUESTS = 20_000;
const MEASURED_REQUESTS = 30_000;
const ROUNDS = 5;
const TICK_EVERY_REQUESTS = 8;
const TICK_MS = 50;
const NODES = 18;

/** Measures the core time per request, from arrival to the end of its response, by number of targets. */
export const decisionCost: Benchmark = {
  name: 'decision_cost',
  description: 'core time per request at 68 and at 4,800 targets',
  run() {
    const nodes = [SMALL_TARGETS, LARGE_TARGETS].map(createBusyNode);
    for (const node of nodes) node.run(WARM_UP_REQUESTS);
    const costs: number[][] = nodes.map(() => []);
    for (let round = 0; round < ROUNDS; round++) {
      nodes.forEach((node, at) => costs[at]!.push(measure(node)));
    }
    const [small, large] = costs.map(median) as [number, number];
    const slopeNs = ((large - small) * 1000) / (LARGE_TARGETS - SMALL_TARGETS);
    console.log(`targets ${SMALL_TARGETS}: ${small.toFixed(1)} us a request`);
    console.log(`targets ${LARGE_TARGETS}: ${large.toFixed(1)} us a request`);
    console.log(`ratio ${(large / small).toFixed(2)}`);
    console.log(`slope ${slopeNs.toFixed(2)} ns a request and target`);
  },
};

function measure(node: BusyNode): number {
  const startedAtNs = process.hrtime.bigint();
  node.run(MEASURED_REQUESTS);
  const elapsedNs = Number(process.hrtime.bigint() - startedAtNs);
  return elapsedNs / 1000 / MEASURED_REQUESTS;
}

function median(values: number[]): number {
  return [...values].sort((a, b) => a - b)[values.length >> 1]!;
}

interface BusyNode {
  run(requests: number): void;
}

function createBusyNode(targets: number): BusyNode {
  const loop = new RequestLoop(createBenchNode({nodes: NODES, targets}));
  return {run: requests => loop.run(requests)};
}

/** Sends requests and ends the oldest ones, so that the number in flight stays constant. */
class RequestLoop {
  private readonly running: AttemptId[] = [];
  private count = 0;
  private nowMs = 1_000_000;
  private readonly token = createHash('sha256').update('large').digest('hex');

  constructor(private readonly state: NodeState) {}

  run(requests: number): void {
    for (let at = 0; at < requests; at++) {
      this.send();
      if (this.running.length > IN_FLIGHT) this.end(this.running.shift()!);
      if (at % TICK_EVERY_REQUESTS === 0) this.tick();
    }
  }

  private send(): void {
    const requestId = makeId<RequestId>(`r${this.count++}`);
    this.recordAttempts(
      reduce(this.state, {
        type: 'requestArrived',
        nowMs: this.nowMs,
        request: {
          requestId,
          tokenSha256: this.token,
          service: 'chat',
          kind: 'model',
          promptTokens: 100,
          stream: true,
          deterministic: false,
          unrepeatable: false,
          bodyDigest: requestId,
          prefixHashes: [],
        },
      }),
    );
  }

  private end(attemptId: AttemptId): void {
    const {nowMs} = this;
    this.recordAttempts(
      reduce(this.state, {type: 'attemptFirstToken', nowMs, attemptId}),
    );
    this.recordAttempts(
      reduce(this.state, {
        type: 'attemptEnded',
        nowMs,
        attemptId,
        status: 200,
        tokens: 50,
      }),
    );
  }

  private tick(): void {
    this.nowMs += TICK_MS;
    this.recordAttempts(reduce(this.state, {type: 'tick', nowMs: this.nowMs}));
  }

  private recordAttempts(effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.type === 'startAttempt') this.running.push(effect.attemptId);
    }
  }
}
