import type {Benchmark} from './benchmark.js';
import {ChildProgram} from './child_program.js';
import {HttpLoad} from './http_load.js';

const ROUNDS = 5;
const WARM_UP_REQUESTS = 3000;
const SINGLE_REQUESTS = 2000;
const LOAD_REQUESTS = 8000;
const STREAMS = 400;
const IN_FLIGHT = 32;

interface Case {
  readonly title: string;
  readonly inFlight: number;
  readonly requests: number;
  readonly stream: boolean;
}

const CASES: readonly Case[] = [
  {
    title: 'whole answers, 1 in flight',
    inFlight: 1,
    requests: SINGLE_REQUESTS,
    stream: false,
  },
  {
    title: `whole answers, ${IN_FLIGHT} in flight`,
    inFlight: IN_FLIGHT,
    requests: LOAD_REQUESTS,
    stream: false,
  },
  {
    title: `streams of 100 tokens, ${IN_FLIGHT} in flight`,
    inFlight: IN_FLIGHT,
    requests: STREAMS,
    stream: true,
  },
];

interface Measured {
  readonly medianMs: number;
  readonly perSecond: number;
}

/** One node against direct calls to the same target, each in a process of its own. */
export const relay: Benchmark = {
  name: 'relay',
  describe: 'added latency and share of the direct throughput of one node',
  run: runRelay,
};

/** @param words Options of node for the node's process, such as `--cpu-prof`. */
async function runRelay(words: readonly string[]): Promise<void> {
  const target = await ChildProgram.start('relay_target.js', []);
  const address = `127.0.0.1:${target.port}`;
  const node = await ChildProgram.start('relay_node.js', [address], words);
  for (const one of CASES) {
    await compare(one, target.port, node.port);
  }
  await node.close();
  await target.close();
}

/** Measures both ways in turn, and prints medians over the rounds. */
async function compare(
  {title, inFlight, requests, stream}: Case,
  targetPort: number,
  nodePort: number,
): Promise<void> {
  const direct = new HttpLoad(targetPort, inFlight, stream);
  const relayed = new HttpLoad(nodePort, inFlight, stream);
  const warmUp = Math.min(requests, WARM_UP_REQUESTS);
  await direct.run(warmUp);
  await relayed.run(warmUp);
  const directRounds: Measured[] = [];
  const relayedRounds: Measured[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    directRounds.push(await measure(direct, requests));
    relayedRounds.push(await measure(relayed, requests));
  }
  direct.close();
  relayed.close();
  print(title, summarise(directRounds), summarise(relayedRounds));
}

async function measure(load: HttpLoad, requests: number): Promise<Measured> {
  const startMs = performance.now();
  const timesMs = await load.run(requests);
  const elapsedMs = performance.now() - startMs;
  const perSecond = (requests * 1000) / elapsedMs;
  return {medianMs: median(timesMs), perSecond};
}

function summarise(rounds: readonly Measured[]): Measured {
  return {
    medianMs: median(rounds.map(round => round.medianMs)),
    perSecond: median(rounds.map(round => round.perSecond)),
  };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}

function print(title: string, direct: Measured, relayed: Measured): void {
  const addedMs = relayed.medianMs - direct.medianMs;
  const share = relayed.perSecond / direct.perSecond;
  console.log(title);
  for (const [name, one] of [
    ['direct', direct],
    ['through the node', relayed],
  ] as const) {
    const medianMs = one.medianMs.toFixed(3);
    console.log(
      `  ${name}: median ${medianMs} ms, ${one.perSecond.toFixed(0)} a second`,
    );
  }
  console.log(
    `  added at the median ${addedMs.toFixed(3)} ms, share of direct throughput ${share.toFixed(2)}`,
  );
}
