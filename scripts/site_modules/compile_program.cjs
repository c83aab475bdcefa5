/** Compiles the program, using the code cache that the build stored beside it. */
'use strict';
const {readFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');

const PROGRAM = join(__dirname, 'program.cjs');
const CODE_CACHE = join(__dirname, 'program.cache');

/** Returns undefined if the build stored no cache; the program then starts without one. */
function loadCodeCache() {
  try {
    return readFileSync(CODE_CACHE);
  } catch (error) {
    if (error.code === 'ENOENT') return undefined;
    throw error;
  }
}

/** Compiles from source alone if `cachedData` is undefined. */
function compileProgram(cachedData) {
  const source = readFileSync(PROGRAM, 'utf8');
  const script = new Script(
    `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
    {filename: PROGRAM, cachedData},
  );
  if (script.cachedDataRejected) {
    process.emitWarning('the code cache is of another build or other flags');
  }
  return script;
}

function runProgram(script) {
  const run = script.runInThisContext();
  run.call(module.exports, module.exports, require, module, PROGRAM, __dirname);
}

module.exports = {CODE_CACHE, compileProgram, loadCodeCache, runProgram};
