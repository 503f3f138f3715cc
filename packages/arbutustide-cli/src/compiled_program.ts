import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire, wrap} from 'node:module';
import {dirname} from 'node:path';
import {constants, Script} from 'node:vm';

/** A bundle in CommonJS form, and where its compiled code is kept. */
export interface CompiledProgram {
  readonly bundleFile: string;
  readonly cacheFile: string;
}

/**
 * Runs a bundle with the code that was compiled when it was built. V8 refuses
 * code of another version or of other flags; the bundle is then compiled anew.
 *
 * @return saves what has been compiled so far in the cache file.
 */
export function runCompiledProgram({
  bundleFile,
  cacheFile,
}: CompiledProgram): () => void {
  const cachedData = readCache(cacheFile);
  const script = new Script(wrap(readFileSync(bundleFile, 'utf8')), {
    filename: bundleFile,
    cachedData,
    importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
  });
  if (script.cachedDataRejected)
    process.emitWarning(`${cacheFile} is of another version or other flags`);
  const compiledModule = {exports: {}};
  const run = script.runInThisContext() as (...parameters: unknown[]) => void;
  run.call(
    compiledModule.exports,
    compiledModule.exports,
    createRequire(bundleFile),
    compiledModule,
    bundleFile,
    dirname(bundleFile),
  );
  return () => writeFileSync(cacheFile, script.createCachedData());
}

/** Undefined before the first build. */
function readCache(file: string): Buffer | undefined {
  try {
    return readFileSync(file);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
    throw error;
  }
}
