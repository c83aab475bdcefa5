/**
 * Runs the program and, on SIGUSR2, stores the code compiled so far as the code cache.
 * The build sends it once the instance has answered a request and a bundle.
 */
'use strict';
const {writeFileSync} = require('node:fs');
const {
  CODE_CACHE,
  compileProgram,
  runProgram,
} = require('./compile_program.cjs');

const script = compileProgram(undefined);
process.once('SIGUSR2', () => {
  writeFileSync(CODE_CACHE, script.createCachedData());
  process.exit(0);
});
runProgram(script);
