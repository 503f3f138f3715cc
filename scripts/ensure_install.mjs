// Runs `npm ci` when node_modules does not match package-lock.json.
import {spawnSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';

/** Holds the digest of the package-lock.json of the last installation. */
const INSTALLED_LOCK_DIGEST_FILE = 'node_modules/.arbutustide-lock-digest';

const lockDigest = createHash('sha256')
  .update(readFileSync('package-lock.json'))
  .digest('hex');
const isInstallCurrent =
  existsSync(INSTALLED_LOCK_DIGEST_FILE) &&
  readFileSync(INSTALLED_LOCK_DIGEST_FILE, 'utf8') === lockDigest;
if (!isInstallCurrent) {
  const {status} = spawnSync('npm', ['ci', '--loglevel=error'], {
    stdio: 'inherit',
  });
  if (status !== 0) process.exit(status ?? 1);
  writeFileSync(INSTALLED_LOCK_DIGEST_FILE, lockDigest);
}
