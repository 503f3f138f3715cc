// Runs the type check, the linter and all tests. Arguments are passed to mocha.
// The last line of the output is `N passed, N failed`; it does not count failures
// of tests that are listed in KNOWN-RED.txt, which are printed.
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const TEST_FILE_PATTERNS = [
  'packages/*/src/__tests__/**/*.test.ts',
  'platform/src/__tests__/**/*.test.ts',
];
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

/** Titles of tests with a known fault, from the lines `test: TITLE`. */
function readKnownRedTitles() {
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
  // The report goes to a file because nodes under test log to standard output.
  const reportDirectory = mkdtempSync(join(tmpdir(), 'arbutustide-tests-'));
  const reportFile = join(reportDirectory, 'report.json');
  spawnSync(
    'node_modules/.bin/mocha',
    [
      '--reporter',
      'json',
      '--reporter-option',
      `output=${reportFile}`,
      ...TEST_FILE_PATTERNS,
      ...process.argv.slice(2),
    ],
    {stdio: ['ignore', 'ignore', 'inherit']},
  );
  const report = JSON.parse(readFileSync(reportFile, 'utf8'));
  rmSync(reportDirectory, {recursive: true});
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
const testResults = runMocha();
const knownRedTitles = readKnownRedTitles();
const isKnownRed = ({title}) => knownRedTitles.includes(title);
for (const {title, message} of testResults.failures) {
  process.stdout.write(`FAILED ${title}\n${message}\n\n`);
}
for (const failure of testResults.failures.filter(isKnownRed)) {
  process.stdout.write(`known red: ${failure.title}\n`);
}
const failedChecks = checks.filter(({isPassed}) => !isPassed);
for (const {name} of failedChecks) process.stdout.write(`FAILED ${name}\n`);
const newFailures = testResults.failures.filter(
  failure => !isKnownRed(failure),
);
const passedCount =
  testResults.passes.length + checks.length - failedChecks.length;
const failedCount = newFailures.length + failedChecks.length;
process.stdout.write(`${passedCount} passed, ${failedCount} failed\n`);
process.exit(failedCount === 0 && passedCount > checks.length ? 0 : 1);
