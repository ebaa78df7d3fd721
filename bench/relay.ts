import type {Benchmark} from './benchmark.js';
import {ChildProgram} from './child_program.js';
import {HttpLoad} from './http_load.js';

const ROUNDS = 5;
const WARM_UP_REQUESTS = 3000;
const SINGLE_REQUESTS = 2000;
const LOAD_REQUESTS = 8000;
const STREAMS = 400;
const IN_FLIGHT = 32;

/** Straight to the target, through a relay without decisions, and through a node. */
const WAYS = ['direct', 'bare', 'node'] as const;
type Way = (typeof WAYS)[number];

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

/** One node against direct calls and a bare relay to the same target, each in a process of its own. */
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
  const bare = await ChildProgram.start('relay_bare.js', [address]);
  const ports = {direct: target.port, bare: bare.port, node: node.port};
  for (const one of CASES) {
    await compare(one, ports);
  }
  await bare.close();
  await node.close();
  await target.close();
}

/** Measures each way in turn, and prints medians over the rounds. */
async function compare(
  {title, inFlight, requests, stream}: Case,
  ports: Readonly<Record<Way, number>>,
): Promise<void> {
  const loads = WAYS.map(way => new HttpLoad(ports[way], inFlight, stream));
  const rounds: Measured[][] = WAYS.map(() => []);
  for (const load of loads) {
    await load.run(Math.min(requests, WARM_UP_REQUESTS));
  }
  for (let round = 0; round < ROUNDS; round++) {
    for (const [at, load] of loads.entries()) {
      rounds[at]!.push(await measure(load, requests));
    }
  }
  for (const load of loads) load.close();
  print(title, rounds.map(summarise));
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

function print(title: string, measured: readonly Measured[]): void {
  const [direct] = measured;
  console.log(title);
  for (const [at, {medianMs, perSecond}] of measured.entries()) {
    const addedMs = medianMs - direct!.medianMs;
    const share = perSecond / direct!.perSecond;
    const figures = [
      `median ${medianMs.toFixed(3)} ms`,
      `added ${addedMs.toFixed(3)} ms`,
      `${perSecond.toFixed(0)} a second`,
      `share of direct ${share.toFixed(2)}`,
    ];
    console.log(`  ${WAYS[at]}: ${figures.join(', ')}`);
  }
}
