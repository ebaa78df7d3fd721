// Bundles the deployed program into one file: on a slow processor, reading some
// hundred small files takes most of the start-up time. CommonJS starts faster
// than ES modules, and minified source is parsed faster.
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
