// Bundles the command line, which contains the platform node, into target/.
import {mkdirSync} from 'node:fs';

import {build} from 'esbuild';

import {BUNDLE_OPTIONS} from './bundle_options.mjs';

mkdirSync('target', {recursive: true});
await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ['packages/arbutustide-cli/src/main.ts'],
  outfile: 'target/arbutustide.cjs',
});
