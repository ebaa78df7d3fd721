// Bundles the deployed program into one file: reading some hundred small files
// costs most of a start on a slow processor. The older module format starts
// faster than the newer one, and a source without comments is parsed faster.
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/rhubarbstile.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  minifySyntax: true,
  sourcemap: false,
  logLevel: 'warning',
});
