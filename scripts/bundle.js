// Bundles the deployed program into one file: reading some hundred small files
// costs most of a start on a slow processor.
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/rhubarbstile.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: false,
  sourcemap: false,
  logLevel: 'warning',
  // Dependencies in the older module format call require() for built-in modules.
  banner: {
    js: "import {createRequire as nodeCreateRequire} from 'node:module'; const require = nodeCreateRequire(import.meta.url);",
  },
});
