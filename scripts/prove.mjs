// Breaks the code by each patch under docs/proofs/, in a copy, and checks that
// the cell named in the patch turns red for the invariant named there.
import {execFileSync, spawnSync} from 'node:child_process';
import {cpSync, mkdtempSync, readdirSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';

import {build} from 'esbuild';

import {BUNDLE_OPTIONS} from './bundle_options.mjs';

const PROOFS = 'docs/proofs';
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

async function prove(file) {
  const text = readFileSync(join(PROOFS, file), 'utf8');
  const invariant = header(text, 'Invariant');
  const cell = header(text, 'Cell');
  const directory = mkdtempSync(join(tmpdir(), 'arbutustide-proof-'));
  try {
    cpSync('packages', join(directory, 'packages'), {
      recursive: true,
      filter: path => !path.includes('node_modules'),
    });
    execFileSync('git', ['apply', resolve(PROOFS, file)], {cwd: directory});
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
    process.stdout.write(
      `${isRed ? 'red as it must be' : 'STILL GREEN'}: ${file}: ${cell}\n`,
    );
    return isRed;
  } finally {
    rmSync(directory, {recursive: true});
  }
}

let red = 0;
const files = readdirSync(PROOFS).filter(file => file.endsWith('.patch'));
for (const file of files) {
  try {
    if (await prove(file)) red += 1;
  } catch (error) {
    process.stdout.write(`CANNOT BE RUN: ${file}: ${error.message}\n`);
  }
}
process.stdout.write(`${red} passed, ${files.length - red} failed\n`);
process.exit(red === files.length ? 0 : 1);
