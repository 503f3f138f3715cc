// How the programs of this repository are bundled.
import {resolve} from 'node:path';

/** Optional parts of bunyan that the programs do without. */
const ABSENT_MODULES = /^(dtrace-provider|mv|source-map-support)$/;
const absentModules = {
  name: 'absent-modules',
  setup(bundle) {
    bundle.onResolve({filter: ABSENT_MODULES}, ({path}) => ({
      path,
      namespace: 'absent',
    }));
    bundle.onLoad({filter: /.*/, namespace: 'absent'}, ({path}) => ({
      contents: `throw new Error('${path} is not bundled');`,
    }));
  },
};

/** Options common to all bundles. */
export const BUNDLE_OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  tsconfig: resolve('tsconfig.json'),
  plugins: [absentModules],
  legalComments: 'none',
  logLevel: 'warning',
};
