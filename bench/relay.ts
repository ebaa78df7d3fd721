import type {Benchmark} from './benchmark.js';
import {ChildProgram} from './child_program.js';
import {HttpLoad} from './http_load.js';

const ROUNDS = 5;
const WARM_UP_REQUESTS = 3000;
const SINGLE_REQUESTS = 2000;
const LOAD_REQUESTS = 8000;
const STREAMS = 400;
const IN_FLIGHT = 32;

/** Directly to the target, through a minimal relay without scheduling, and through a node. */
const PATHS = ['direct', 'bare', 'node'] as const;
type Path = (typeof PATHS)[number];

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

interface Measurement {
  readonly medianMs: number;
  readonly perSecond: number;
}

/** Compares one node with direct calls and a minimal relay to the same target, each in its own process. */
export const relay: Benchmark = {
  name: 'relay',
  description: 'added latency and share of the direct throughput of one node',
  run: runRelay,
};

/** @param args Node.js options for the process of the node, such as `--cpu-prof`. */
async function runRelay(args: readonly string[]): Promise<void> {
  const target = await ChildProgram.start('relay_target.js', []);
  const address = `127.0.0.1:${target.port}`;
  const node = await ChildProgram.start('relay_node.js', [address], args);
  const bare = await ChildProgram.start('relay_bare.js', [address]);
  const ports = {direct: target.port, bare: bare.port, node: node.port};
  for (const one of CASES) {
    await compare(one, ports);
  }
  await bare.close();
  await node.close();
  await target.close();
}

/** Measures each path in turn and prints the medians over the rounds. */
async function compare(
  {title, inFlight, requests, stream}: Case,
  ports: Readonly<Record<Path, number>>,
): Promise<void> {
  const loads = PATHS.map(path => new HttpLoad(ports[path], inFlight, stream));
  const rounds: Measurement[][] = PATHS.map(() => []);
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

async function measure(load: HttpLoad, requests: number): Promise<Measurement> {
  const startMs = performance.now();
  const timesMs = await load.run(requests);
  const elapsedMs = performance.now() - startMs;
  const perSecond = (requests * 1000) / elapsedMs;
  return {medianMs: median(timesMs), perSecond};
}

function summarise(rounds: readonly Measurement[]): Measurement {
  return {
    medianMs: median(rounds.map(round => round.medianMs)),
    perSecond: median(rounds.map(round => round.perSecond)),
  };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}

function print(title: string, measurements: readonly Measurement[]): void {
  const [direct] = measurements;
  console.log(title);
  for (const [at, {medianMs, perSecond}] of measurements.entries()) {
    const addedMs = medianMs - direct!.medianMs;
    const share = perSecond / direct!.perSecond;
    const figures = [
      `median ${medianMs.toFixed(3)} ms`,
      `added ${addedMs.toFixed(3)} ms`,
      `${perSecond.toFixed(0)} a second`,
      `share of direct ${share.toFixed(2)}`,
    ];
    console.log(`  ${PATHS[at]}: ${figures.join(', ')}`);
  }
}
