import {readFileSync} from 'node:fs';
import gts from 'gts/build/src/index.js';
import tseslint from 'typescript-eslint';

const VERBS = readVerbs();

/** Reads the verbs that a function name may start with from the list in docs/VERBS.md. */
function readVerbs() {
  const text = readFileSync(new URL('docs/VERBS.md', import.meta.url), 'utf8');
  return new Set([...text.matchAll(/^- `([a-z]+)`/gm)].map(match => match[1]));
}

/** Reports a function declaration whose name does not start with a listed verb. */
const verbFirst = {
  meta: {
    type: 'suggestion',
    messages: {
      verb: "'{{name}}' must start with a verb of docs/VERBS.md",
    },
    schema: [],
  },
  create(context) {
    function checkName(id) {
      if (!id || id.type !== 'Identifier') return;
      const first = id.name.match(/^[a-z]+/);
      if (first && VERBS.has(first[0])) return;
      context.report({node: id, messageId: 'verb', data: {name: id.name}});
    }
    return {
      FunctionDeclaration: node => checkName(node.id),
    };
  },
};

export default [
  {
    ignores: [
      'build/',
      'dist/',
      'target/',
      'node_modules/',
      'eslint.config.js',
    ],
  },
  ...gts,
  {
    files: ['scripts/**/*.js'],
    languageOptions: {
      sourceType: 'module',
      globals: {process: 'readonly', console: 'readonly', URL: 'readonly'},
    },
  },
  {
    files: ['scripts/**/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: {process: 'readonly', __dirname: 'readonly'},
    },
  },
  {
    files: ['**/*.ts'],
    plugins: {local: {rules: {'verb-first': verbFirst}}},
    languageOptions: {parser: tseslint.parser},
    rules: {
      'local/verb-first': 'error',
      'func-style': ['error', 'declaration', {allowArrowFunctions: true}],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
      ],
      '@typescript-eslint/consistent-type-imports': 'error',
      'n/no-unpublished-import': 'off',
      'n/no-process-exit': 'off',
    },
  },
  {
    // node:test's describe and it return promises that the runner awaits.
    files: ['**/*.test.ts'],
    rules: {'@typescript-eslint/no-floating-promises': 'off'},
  },
  {
    // Simulations run the decisions on virtual time. With I/O or a real clock in
    // them, the result of a simulation would depend on the machine.
    files: ['src/decisions/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {group: ['node:*', 'undici', '@trpc/*', 'nact', 'bunyan']},
            {group: ['../instance/*', '../stores/*', '../stand_ins/*']},
          ],
        },
      ],
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'process',
        'fetch',
      ],
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now'},
        {object: 'Math', property: 'random'},
        {object: 'performance', property: 'now'},
      ],
    },
  },
];
