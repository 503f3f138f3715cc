// The esbuild options for all programs of this repository.
import {resolve} from 'node:path';

/** Optional dependencies of bunyan, which works without them. */
const OPTIONAL_MODULES = /^(dtrace-provider|mv|source-map-support)$/;
/** Replaces these modules by ones that throw when they are loaded. */
const optionalModulesPlugin = {
  name: 'absent-modules',
  setup(pluginBuild) {
    pluginBuild.onResolve({filter: OPTIONAL_MODULES}, ({path}) => ({
      path,
      namespace: 'absent',
    }));
    pluginBuild.onLoad({filter: /.*/, namespace: 'absent'}, ({path}) => ({
      contents: `throw new Error('optional module ${path} is not bundled');`,
    }));
  },
};

export const BUNDLE_OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  tsconfig: resolve('tsconfig.json'),
  plugins: [optionalModulesPlugin],
  legalComments: 'none',
  logLevel: 'warning',
};
