// Bundles the command line, which contains the platform node, into target/, with
// its compiled code for the flags of the deploy file.
import {execFileSync} from 'node:child_process';
import {mkdirSync, readFileSync, rmSync} from 'node:fs';

import {build} from 'esbuild';
import {parse} from 'smol-toml';

import {BUNDLE_OPTIONS} from './bundle_options.mjs';

const SOURCES = 'packages/arbutustide-cli/src';
const PROGRAM = 'target/arbutustide.cjs';
const COMPILED_FILE = 'target/bundle.compiled';
const DEPLOY_FILE = 'deploy/system.toml';

mkdirSync('target', {recursive: true});
rmSync(COMPILED_FILE, {force: true});
await build({
  ...BUNDLE_OPTIONS,
  entryPoints: {
    arbutustide: `${SOURCES}/compiled_main.ts`,
    bundle: `${SOURCES}/main.ts`,
  },
  outdir: 'target',
  outExtension: {'.js': '.cjs'},
});
execFileSync(process.execPath, [...readNodeFlags(), PROGRAM, '--version'], {
  env: {...process.env, ARBUTUSTIDE_WRITE_COMPILED_CODE: '1'},
  stdio: ['ignore', 'ignore', 'inherit'],
});

/** Flags of Node.js in the command of the deploy file, which has one role. */
function readNodeFlags() {
  const {roles} = parse(readFileSync(DEPLOY_FILE, 'utf8'));
  const [{run}] = Object.values(roles);
  const command = run.split(' ');
  return command.slice(1, command.indexOf(PROGRAM));
}
