// Breaks the code by each patch under docs/proofs/, in a copy, and checks that
// what the patch names turns red: a cell of the fault matrix for an invariant,
// or, under docs/proofs/platform/, a test.
import {execFileSync, spawnSync} from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {basename, join, resolve} from 'node:path';

import {build} from 'esbuild';

import {BUNDLE_OPTIONS} from './bundle_options.mjs';

const PROOFS = 'docs/proofs';
const PLATFORM_PROOFS = join(PROOFS, 'platform');
/** What tests run with, besides the packages. */
const TEST_FILES = ['.mocharc.json', 'package.json', 'tsconfig.json'];
/** Nodes under test log to standard output too. */
const MOST_OUTPUT_BYTES = 67_108_864;
const SOURCES = ['packages', 'platform'];
const SCOPE = '@arbutustide/';

/** A header line of a patch, such as `Cell: order/late`. */
function header(text, name) {
  const line = text.split('\n').find(item => item.startsWith(`${name}: `));
  if (line === undefined) throw new Error(`no ${name} in the patch`);
  return line.slice(name.length + 2);
}

/** Resolves the workspace's packages to the copy. */
function packagesIn(directory) {
  return {
    name: 'packages-in-copy',
    setup(bundle) {
      bundle.onResolve({filter: /^@arbutustide\//}, ({path}) => {
        const part = path.slice(SCOPE.length);
        return {
          path: join(directory, `packages/arbutustide-${part}/src/index.ts`),
        };
      });
    },
  };
}

/** Copies the sources, breaks them by a patch and hands the copy over. */
async function withBrokenCopy(file, run) {
  const directory = mkdtempSync(join(tmpdir(), 'arbutustide-proof-'));
  try {
    for (const source of SOURCES) {
      cpSync(source, join(directory, source), {
        recursive: true,
        filter: path => !path.includes('node_modules'),
      });
    }
    execFileSync('git', ['apply', resolve(file)], {cwd: directory});
    return await run(directory);
  } finally {
    rmSync(directory, {recursive: true});
  }
}

function tell(isRed, file, what) {
  process.stdout.write(
    `${isRed ? 'red as it must be' : 'STILL GREEN'}: ${basename(file)}: ${what}\n`,
  );
  return isRed;
}

/** Whether a cell of the fault matrix turns red for the invariant. */
function proveByCell(file, text) {
  const invariant = header(text, 'Invariant');
  const cell = header(text, 'Cell');
  return withBrokenCopy(file, async directory => {
    const output = join(directory, 'faults.cjs');
    await build({
      ...BUNDLE_OPTIONS,
      entryPoints: [
        join(directory, 'packages/arbutustide-scenarios/src/faults_main.ts'),
      ],
      outfile: output,
      nodePaths: [resolve('node_modules')],
      plugins: [...BUNDLE_OPTIONS.plugins, packagesIn(directory)],
    });
    const {stdout, status} = spawnSync(
      process.execPath,
      [output, '--only', cell],
      {encoding: 'utf8'},
    );
    const isRed = status !== 0 && stdout.includes(`  ${invariant}: `);
    return tell(isRed, file, cell);
  });
}

/** Links the libraries into a copy, and the workspace's packages to it. */
function linkModules(directory) {
  const modules = join(directory, 'node_modules');
  const scope = join(modules, SCOPE);
  mkdirSync(scope, {recursive: true});
  for (const name of readdirSync('node_modules')) {
    if (`${name}/` === SCOPE) continue;
    symlinkSync(resolve('node_modules', name), join(modules, name));
  }
  symlinkSync(join(directory, 'platform'), join(scope, 'platform'));
  for (const name of readdirSync('packages')) {
    const part = name.replace('arbutustide-', '');
    symlinkSync(join(directory, 'packages', name), join(scope, part));
  }
}

/** Whether a test turns red, which is green without the patch. */
function proveByTest(file, text) {
  const test = header(text, 'Test');
  const title = header(text, 'Title');
  return withBrokenCopy(file, async directory => {
    linkModules(directory);
    for (const name of TEST_FILES) cpSync(name, join(directory, name));
    const {stdout} = spawnSync(
      join(directory, 'node_modules/.bin/mocha'),
      ['--reporter', 'json', test, '--fgrep', title],
      {cwd: directory, encoding: 'utf8', maxBuffer: MOST_OUTPUT_BYTES},
    );
    const report = JSON.parse(stdout.slice(stdout.indexOf('\n{\n') + 1));
    return tell(report.stats.failures > 0, file, title);
  });
}

function patchesIn(directory) {
  return readdirSync(directory)
    .filter(name => name.endsWith('.patch'))
    .map(name => join(directory, name));
}

function prove(file) {
  const text = readFileSync(file, 'utf8');
  return file.startsWith(PLATFORM_PROOFS)
    ? proveByTest(file, text)
    : proveByCell(file, text);
}

let red = 0;
const files = [...patchesIn(PROOFS), ...patchesIn(PLATFORM_PROOFS)];
for (const file of files) {
  try {
    if (await prove(file)) red += 1;
  } catch (error) {
    process.stdout.write(`CANNOT BE RUN: ${file}: ${error.message}\n`);
  }
}
process.stdout.write(`${red} passed, ${files.length - red} failed\n`);
process.exit(red === files.length ? 0 : 1);
