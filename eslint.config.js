import {createRequire} from 'node:module';

const require = createRequire(import.meta.url);
const gts = require('gts');

/** Reports a module that exports more than one name; `index.ts` and `types.ts` gather others. */
const oneExport = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    const file = context.filename;
    if (/(^|\/)(index|types|effects|events)\.ts$/.test(file)) return {};
    const names = new Set();
    const add = (node, name) => {
      names.add(name);
      if (names.size > 1) {
        context.report({node, message: 'Export one name a file.'});
      }
    };
    return {
      ExportNamedDeclaration(node) {
        const declared = node.declaration;
        if (declared?.id) add(node, declared.id.name);
        for (const one of declared?.declarations ?? []) {
          add(node, one.id.name);
        }
        for (const one of node.specifiers) add(node, one.exported.name);
      },
      ExportDefaultDeclaration(node) {
        context.report({node, message: 'Use named exports.'});
      },
    };
  },
};

const coreIsPure = [
  'error',
  {object: 'Date', property: 'now', message: 'Time arrives in events.'},
  {object: 'Math', property: 'random', message: 'Seeds arrive in events.'},
  {object: 'performance', property: 'now', message: 'Time arrives in events.'},
];

export default [
  {ignores: ['dist/', 'target/', 'node_modules/', '*.js', 'scripts/']},
  ...gts,
  {
    files: ['src/**/*.ts', 'bench/**/*.ts', 'platform/**/*.ts'],
    plugins: {rhubarbstile: {rules: {'one-export': oneExport}}},
    rules: {'rhubarbstile/one-export': 'error'},
  },
  {
    files: ['src/**/*.ts'],
    ignores: ['src/core/**'],
    rules: {
      'no-restricted-imports': ['error', {patterns: ['**/platform/*/*', '**/platform/wire.js', '**/platform/main.js']}],
    },
  },
  {
    files: ['src/core/**/*.ts'],
    rules: {
      'no-restricted-properties': coreIsPure,
      'no-restricted-imports': ['error', {patterns: ['node:*', '!node:crypto']}],
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'process',
        'fetch',
      ],
    },
  },
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {
              from: 'package',
              name: ['test', 'it', 'describe', 'suite'],
              package: 'node:test',
            },
          ],
        },
      ],
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
];
