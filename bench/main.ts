import {BENCHMARKS} from './benchmarks.js';

const EXIT_USAGE = 2;

const [name, ...args] = process.argv.slice(2);
const benchmark = BENCHMARKS.find(one => one.name === name);
if (benchmark) {
  await benchmark.run(args);
} else {
  console.error('usage: npm run bench -- <name>');
  for (const one of BENCHMARKS)
    console.error(`  ${one.name}: ${one.description}`);
  process.exitCode = EXIT_USAGE;
}
