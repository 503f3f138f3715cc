import {execFileSync} from 'node:child_process';
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

import {expect} from 'chai';

import {singleFaults} from '../../matrix/matrix.js';
import {cellName} from '../../matrix/run_cell.js';
import {Invariant} from '../../world/invariants.js';

const DIRECTORY = 'docs/proofs';
const FILES = readdirSync(DIRECTORY).filter(file => file.endsWith('.patch'));
const PLATFORM_DIRECTORY = 'docs/proofs/platform';
const PLATFORM_FILES = readdirSync(PLATFORM_DIRECTORY);
const CELLS = singleFaults().possible.map(cellName);

describe('mutations kept as proofs', () => {
  for (const file of FILES) {
    it(`${file} applies and names an invariant and a cell`, () => {
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
    it(`${file} applies and names a test`, () => {
      const path = join(PLATFORM_DIRECTORY, file);
      execFileSync('git', ['apply', '--check', path], {stdio: 'pipe'});
      const text = readFileSync(path, 'utf8');
      const test = /^Test: (.*)$/m.exec(text)?.[1] ?? '';
      const title = /^Title: (.+)$/m.exec(text)?.[1] ?? '';
      expect(readFileSync(test, 'utf8')).to.include(title.split(', ').at(-1));
    });
  }
});
