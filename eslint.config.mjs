// Google TypeScript style by gts, and the allowed imports between packages.
import {readFileSync} from 'node:fs';

import gts from 'gts/build/src/index.js';

/** Packages that each package may import; the imports have no cycles. */
const ARROWS = JSON.parse(
  readFileSync(new URL('package_arrows.json', import.meta.url), 'utf8'),
);

/** Network libraries, and the packages that may import them. */
const NETWORK_LIBRARIES = ['undici'];
const NETWORK_PACKAGES = new Set([
  'object-store',
  'upstream',
  'cli',
  'stand-ins',
  'scenarios',
  'platform',
]);

/** The folder of a package's sources. */
function sourcesOf(name) {
  return name === 'platform' ? 'platform' : `packages/arbutustide-${name}`;
}

function importRules(name, allowed) {
  const forbidden = Object.keys(ARROWS)
    .filter(other => other !== name && !allowed.includes(other))
    .map(other => ({
      name: `@arbutustide/${other}`,
      message: `package ${name} may import ${allowed.join(', ') || 'none'}`,
    }));
  const libraries = NETWORK_PACKAGES.has(name)
    ? []
    : NETWORK_LIBRARIES.map(library => ({
        name: library,
        message: 'network libraries may be imported only by NETWORK_PACKAGES',
      }));
  return {
    files: [`${sourcesOf(name)}/src/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: [...forbidden, ...libraries],
          patterns: [
            {
              group: ['@arbutustide/*/*', '**/packages/*'],
              message: 'import another package only through its index.ts',
            },
          ],
        },
      ],
    },
  };
}

export default [
  {
    ignores: [
      'dist/',
      'target/',
      'node_modules/',
      '**/gen/',
      '**/*.generated.ts',
    ],
  },
  ...gts,
  {
    rules: {
      'prettier/prettier': [
        'error',
        {
          bracketSpacing: false,
          singleQuote: true,
          trailingComma: 'all',
          arrowParens: 'avoid',
          printWidth: 80,
        },
      ],
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'no-underscore-dangle': 'off',
    },
  },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {varsIgnorePattern: '^_', argsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {fixStyle: 'separate-type-imports'},
      ],
      eqeqeq: 'error',
      'max-lines': ['error', 400],
      'max-lines-per-function': ['error', 60],
    },
  },
  {
    files: [
      'packages/*/src/__tests__/**/*.ts',
      'platform/src/__tests__/**/*.ts',
    ],
    rules: {'max-lines-per-function': 'off'},
  },
  {
    files: ['scripts/*.mjs'],
    languageOptions: {
      globals: {process: 'readonly', AbortController: 'readonly'},
    },
  },
  ...Object.entries(ARROWS).map(([name, allowed]) =>
    importRules(name, allowed),
  ),
];
