// Bundles the program that runs on the users' platform into target/.
import {mkdirSync} from 'node:fs';

import {build} from 'esbuild';

import {BUNDLE_OPTIONS} from './bundle_options.mjs';

mkdirSync('target', {recursive: true});
await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ['packages/arbutustide-cli/src/main.ts'],
  outfile: 'target/arbutustide.cjs',
});
