// Runs `npm ci` when node_modules does not match package-lock.json.
import {spawnSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';

const STAMP_FILE = 'node_modules/.arbutustide-lock-digest';

const digest = createHash('sha256')
  .update(readFileSync('package-lock.json'))
  .digest('hex');
const isCurrent =
  existsSync(STAMP_FILE) && readFileSync(STAMP_FILE, 'utf8') === digest;
if (!isCurrent) {
  const {status} = spawnSync('npm', ['ci', '--loglevel=error'], {
    stdio: 'inherit',
  });
  if (status !== 0) process.exit(status ?? 1);
  writeFileSync(STAMP_FILE, digest);
}
