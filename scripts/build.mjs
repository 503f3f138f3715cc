// Bundles the programs into dist/ and, without --bundles-only, builds the single
// executable application of the command line.
import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, mkdirSync, writeFileSync} from 'node:fs';

import {build} from 'esbuild';

import {BUNDLE_OPTIONS} from './bundle_options.mjs';

const ENTRY_POINTS = {
  arbutustide: 'packages/arbutustide-cli/src/main.ts',
  stand_ins: 'packages/arbutustide-stand-ins/src/main.ts',
  demo: 'packages/arbutustide-scenarios/src/demo_main.ts',
  bench: 'packages/arbutustide-scenarios/src/bench_main.ts',
  faults: 'packages/arbutustide-scenarios/src/faults_main.ts',
  soak: 'packages/arbutustide-scenarios/src/soak_main.ts',
  stop_soak: 'platform/src/stop-soak/soak_main.ts',
  fleet_bench: 'platform/src/fleet-bench/fleet_bench_main.ts',
  refusal_bench: 'platform/src/fleet-bench/refusal_bench_main.ts',
};
const EXECUTABLE_FILE = 'dist/arbutustide';
/** Marker in the Node.js binary, at which postject records the injected blob. */
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', {recursive: true});
await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ENTRY_POINTS,
  outdir: 'dist',
  outExtension: {'.js': '.cjs'},
});
if (!process.argv.includes('--bundles-only')) buildExecutable();

function buildExecutable() {
  writeFileSync(
    'dist/sea.json',
    JSON.stringify({
      main: 'dist/arbutustide.cjs',
      output: 'dist/sea.blob',
      disableExperimentalSEAWarning: true,
    }),
  );
  execFileSync(process.execPath, [
    '--experimental-sea-config',
    'dist/sea.json',
  ]);
  copyFileSync(process.execPath, EXECUTABLE_FILE);
  chmodSync(EXECUTABLE_FILE, 0o755);
  execFileSync('node_modules/.bin/postject', [
    EXECUTABLE_FILE,
    'NODE_SEA_BLOB',
    'dist/sea.blob',
    '--sentinel-fuse',
    SEA_FUSE,
  ]);
  process.stdout.write(`${EXECUTABLE_FILE}\n`);
}
