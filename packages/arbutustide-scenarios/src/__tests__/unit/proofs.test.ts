import {execFileSync} from 'node:child_process';
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

import {expect} from 'chai';

import {createFaultMatrix} from '../../matrix/fault_matrix.js';
import {cellName} from '../../matrix/run_cell.js';
import {Invariant} from '../../world/invariants.js';

const DIRECTORY = 'docs/proofs';
const FILES = readdirSync(DIRECTORY).filter(file => file.endsWith('.patch'));
const PLATFORM_DIRECTORY = 'docs/proofs/platform';
const PLATFORM_FILES = readdirSync(PLATFORM_DIRECTORY);
const CELLS = createFaultMatrix().possible.map(cellName);

/*
 * Each patch is a mutation that makes a check fail, which proves that the check
 * detects it. Guards against patches that no longer apply after a change of the
 * source, or that name an invariant, a cell or a test that no longer exists.
 */
describe('mutations kept as proofs', () => {
  for (const file of FILES) {
    it(`${file} applies and names a known invariant and cell`, () => {
      const path = join(DIRECTORY, file);
      execFileSync('git', ['apply', '--check', path], {stdio: 'pipe'});
      const text = readFileSync(path, 'utf8');
      const invariant = /^Invariant: (.*)$/m.exec(text)?.[1];
      const cell = /^Cell: (.*)$/m.exec(text)?.[1];
      expect(Object.values(Invariant)).to.include(invariant);
      expect(CELLS).to.include(cell);
    });
  }
  for (const file of PLATFORM_FILES) {
    it(`${file} applies and names an existing test`, () => {
      const path = join(PLATFORM_DIRECTORY, file);
      execFileSync('git', ['apply', '--check', path], {stdio: 'pipe'});
      const text = readFileSync(path, 'utf8');
      const test = /^Test: (.*)$/m.exec(text)?.[1] ?? '';
      const title = /^Title: (.+)$/m.exec(text)?.[1] ?? '';
      expect(readFileSync(test, 'utf8')).to.include(title.split(', ').at(-1));
    });
  }
});
