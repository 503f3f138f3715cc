// Mutation testing: applies each patch under docs/proofs/ to a copy of the
// sources and checks that the fault is detected. The headers of a patch name what
// must fail: an invariant and a cell of the fault matrix (`Invariant:`, `Cell:`)
// or, under docs/proofs/platform/, a test file and the title of a test in it
// (`Test:`, `Title:`).
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

const PROOFS_DIRECTORY = 'docs/proofs';
const PLATFORM_PROOFS_DIRECTORY = join(PROOFS_DIRECTORY, 'platform');
/** Files that the tests need in the copy, besides the sources. */
const TEST_CONFIGURATION_FILES = [
  '.mocharc.json',
  'package.json',
  'scripts/record_progress.mjs',
  'tsconfig.json',
];
/** Bound on the output of mocha, which includes the logs of nodes under test. */
const MAXIMUM_OUTPUT_BYTES = 67_108_864;
const SOURCE_DIRECTORIES = ['packages', 'platform'];
const PACKAGE_SCOPE = '@arbutustide/';

/** Returns the value of a header line of a patch, such as `Cell: order/late`. */
function readHeader(patch, name) {
  const line = patch
    .split('\n')
    .find(candidate => candidate.startsWith(`${name}: `));
  if (line === undefined) throw new Error(`the patch has no header ${name}`);
  return line.slice(name.length + 2);
}

/** An esbuild plugin that resolves the workspace's packages to the copy. */
function resolvePackagesIn(directory) {
  return {
    name: 'packages-in-copy',
    setup(pluginBuild) {
      pluginBuild.onResolve({filter: /^@arbutustide\//}, ({path}) => {
        const packageName = path.slice(PACKAGE_SCOPE.length);
        return {
          path: join(
            directory,
            `packages/arbutustide-${packageName}/src/index.ts`,
          ),
        };
      });
    },
  };
}

/**
 * Applies a patch to a temporary copy of the sources and calls `check` with the
 * directory of the copy, which is removed afterwards.
 */
async function withPatchedCopy(patchFile, check) {
  const directory = mkdtempSync(join(tmpdir(), 'arbutustide-proof-'));
  try {
    for (const source of SOURCE_DIRECTORIES) {
      cpSync(source, join(directory, source), {
        recursive: true,
        filter: path => !path.includes('node_modules'),
      });
    }
    execFileSync('git', ['apply', resolve(patchFile)], {cwd: directory});
    return await check(directory);
  } finally {
    rmSync(directory, {recursive: true});
  }
}

/** Prints whether the check failed on the mutated code, as it must. */
function reportResult(isDetected, patchFile, checkName) {
  process.stdout.write(
    `${isDetected ? 'detected' : 'NOT DETECTED'}: ${basename(patchFile)}: ${checkName}\n`,
  );
  return isDetected;
}

/** Whether a cell of the fault matrix reports a violation of the invariant. */
function checkByFaultMatrix(patchFile, patch) {
  const invariant = readHeader(patch, 'Invariant');
  const cell = readHeader(patch, 'Cell');
  return withPatchedCopy(patchFile, async directory => {
    const faultsProgram = join(directory, 'faults.cjs');
    await build({
      ...BUNDLE_OPTIONS,
      entryPoints: [
        join(directory, 'packages/arbutustide-scenarios/src/faults_main.ts'),
      ],
      outfile: faultsProgram,
      nodePaths: [resolve('node_modules')],
      plugins: [...BUNDLE_OPTIONS.plugins, resolvePackagesIn(directory)],
    });
    const {stdout, status} = spawnSync(
      process.execPath,
      [faultsProgram, '--only', cell],
      {encoding: 'utf8'},
    );
    const isDetected = status !== 0 && stdout.includes(`  ${invariant}: `);
    return reportResult(isDetected, patchFile, cell);
  });
}

/**
 * Creates node_modules in a copy, with links to the installed libraries and to
 * the workspace's packages in the copy.
 */
function linkNodeModules(directory) {
  const modulesDirectory = join(directory, 'node_modules');
  const scopeDirectory = join(modulesDirectory, PACKAGE_SCOPE);
  mkdirSync(scopeDirectory, {recursive: true});
  for (const name of readdirSync('node_modules')) {
    if (`${name}/` === PACKAGE_SCOPE) continue;
    symlinkSync(resolve('node_modules', name), join(modulesDirectory, name));
  }
  symlinkSync(join(directory, 'platform'), join(scopeDirectory, 'platform'));
  for (const name of readdirSync('packages')) {
    const packageName = name.replace('arbutustide-', '');
    symlinkSync(
      join(directory, 'packages', name),
      join(scopeDirectory, packageName),
    );
  }
}

/** Whether a test fails that passes without the patch. */
function checkByTest(patchFile, patch) {
  const testFile = readHeader(patch, 'Test');
  const title = readHeader(patch, 'Title');
  return withPatchedCopy(patchFile, async directory => {
    linkNodeModules(directory);
    for (const name of TEST_CONFIGURATION_FILES)
      cpSync(name, join(directory, name));
    const {stdout} = spawnSync(
      join(directory, 'node_modules/.bin/mocha'),
      ['--exit', '--reporter', 'json', testFile, '--fgrep', title],
      {cwd: directory, encoding: 'utf8', maxBuffer: MAXIMUM_OUTPUT_BYTES},
    );
    const report = JSON.parse(stdout.slice(stdout.indexOf('\n{\n') + 1));
    return reportResult(report.stats.failures > 0, patchFile, title);
  });
}

function listPatches(directory) {
  return readdirSync(directory)
    .filter(name => name.endsWith('.patch'))
    .map(name => join(directory, name));
}

function checkPatch(patchFile) {
  const patch = readFileSync(patchFile, 'utf8');
  return patchFile.startsWith(PLATFORM_PROOFS_DIRECTORY)
    ? checkByTest(patchFile, patch)
    : checkByFaultMatrix(patchFile, patch);
}

let detectedCount = 0;
const patchFiles = [
  ...listPatches(PROOFS_DIRECTORY),
  ...listPatches(PLATFORM_PROOFS_DIRECTORY),
];
for (const patchFile of patchFiles) {
  try {
    if (await checkPatch(patchFile)) detectedCount += 1;
  } catch (error) {
    process.stdout.write(`COULD NOT RUN: ${patchFile}: ${error.message}\n`);
  }
}
process.stdout.write(
  `${detectedCount} passed, ${patchFiles.length - detectedCount} failed\n`,
);
process.exit(detectedCount === patchFiles.length ? 0 : 1);
