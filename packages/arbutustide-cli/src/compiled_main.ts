// Entry point beside a bundle of the command line: runs it from compiled code.
import {join} from 'node:path';

import {runCompiledProgram} from './compiled_program.js';

/** Set while the build fills the cache. */
const CACHE_VARIABLE = 'ARBUTUSTIDE_WRITE_COMPILED_CODE';

const saveCompiledCode = runCompiledProgram({
  bundleFile: join(__dirname, 'bundle.cjs'),
  cacheFile: join(__dirname, 'bundle.compiled'),
});
if (process.env[CACHE_VARIABLE]) process.once('exit', saveCompiledCode);
