// Runs every check and ends with one line that counts them.
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const TEST_FILES = [
  'packages/*/src/__tests__/**/*.test.ts',
  'platform/src/__tests__/**/*.test.ts',
];
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

/** Titles of tests that are red for a known fault, one entry each. */
function knownRedTitles() {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  return readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
}

function runCheck(name, command, ...parameters) {
  const {status} = spawnSync(command, parameters, {stdio: 'inherit'});
  return {name, isPassed: status === 0};
}

function runMocha() {
  // A file of its own: nodes under test write their logs to standard output.
  const directory = mkdtempSync(join(tmpdir(), 'arbutustide-tests-'));
  const output = join(directory, 'report.json');
  spawnSync(
    'node_modules/.bin/mocha',
    [
      '--reporter',
      'json',
      '--reporter-option',
      `output=${output}`,
      ...TEST_FILES,
      ...process.argv.slice(2),
    ],
    {stdio: ['ignore', 'ignore', 'inherit']},
  );
  const report = JSON.parse(readFileSync(output, 'utf8'));
  rmSync(directory, {recursive: true});
  return {
    passes: report.passes.map(test => test.fullTitle),
    failures: report.failures.map(test => ({
      title: test.fullTitle,
      message: test.err.stack ?? test.err.message,
    })),
  };
}

const checks = [
  runCheck('types', 'node_modules/.bin/tsc', '-p', 'tsconfig.json'),
  runCheck(
    'lint',
    'node_modules/.bin/eslint',
    'packages',
    'platform',
    'scripts',
  ),
];
const tests = runMocha();
const knownRed = knownRedTitles();
const isKnown = ({title}) => knownRed.includes(title);
for (const {title, message} of tests.failures) {
  process.stdout.write(`FAILED ${title}\n${message}\n\n`);
}
for (const failure of tests.failures.filter(isKnown)) {
  process.stdout.write(`known red: ${failure.title}\n`);
}
const failedChecks = checks.filter(({isPassed}) => !isPassed);
for (const {name} of failedChecks) process.stdout.write(`FAILED ${name}\n`);
const newFailures = tests.failures.filter(failure => !isKnown(failure));
const passed = tests.passes.length + checks.length - failedChecks.length;
const failed = newFailures.length + failedChecks.length;
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exit(failed === 0 && passed > checks.length ? 0 : 1);
