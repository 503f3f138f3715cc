// Root hooks of mocha that name the test under way in a file, and tell on SIGUSR2
// what keeps the process alive.
import {writeFileSync} from 'node:fs';
import process from 'node:process';

const progressFile = process.env.TEST_PROGRESS_FILE;

process.on('SIGUSR2', () => {
  const resources = process.getActiveResourcesInfo().join(', ');
  process.stderr.write(`active resources: ${resources}\n`);
});

// Node.js 20 may wait forever for requests of sockets that were reset if it frees
// its environment; an exit of the script does not. Nothing is left to do here.
process.on('beforeExit', () => process.exit());

function recordProgress(text) {
  if (progressFile) writeFileSync(progressFile, text);
}

export const mochaHooks = {
  beforeEach() {
    recordProgress(`during: ${this.currentTest?.fullTitle()}`);
  },
  afterEach() {
    recordProgress(`after: ${this.currentTest?.fullTitle()}`);
  },
  afterAll() {
    recordProgress('after the last test');
  },
};
