// The record of a script: what was sent, answered and run, and the verdict.
import {writeFileSync} from 'node:fs';

export class Record {
  constructor(file) {
    this.file = file;
    this.beganAt = performance.now();
    this.lines = [];
  }

  add(text, atMilliseconds = performance.now()) {
    const seconds = ((atMilliseconds - this.beganAt) / 1_000).toFixed(3);
    this.lines.push({atMilliseconds, text: `${seconds.padStart(8)} ${text}`});
  }

  /** Adds a line and prints it. */
  say(text) {
    this.add(text);
    console.log(text);
  }

  write() {
    const sorted = [...this.lines].sort((left, right) => left.atMilliseconds - right.atMilliseconds);
    writeFileSync(this.file, `${sorted.map(({text}) => text).join('\n')}\n`);
  }
}

/** Exit codes that the review asks for. */
export const Verdict = {HELD: 0, BROKEN: 1, COULD_NOT_RUN: 2};

/** Runs a script's body, writes its record and exits with its verdict. */
export async function runCase(recordFile, body) {
  const record = new Record(recordFile);
  const cleanUps = [];
  let isEnding = false;
  const end = async verdict => {
    if (isEnding) return;
    isEnding = true;
    for (const cleanUp of cleanUps.reverse()) await cleanUp();
    record.say(`exit ${verdict}`);
    record.write();
    process.exit(verdict);
  };
  const fail = error => {
    record.say(`could not run: ${error?.stack ?? error}`);
    return end(Verdict.COULD_NOT_RUN);
  };
  // Without a listener, Node.js would exit with 1, which means a broken rule.
  process.on('uncaughtException', fail);
  process.on('unhandledRejection', fail);
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.on(signal, () => fail(new Error(signal)));
  try {
    await end(await body(record, action => cleanUps.push(action)));
  } catch (error) {
    await fail(error);
  }
}
