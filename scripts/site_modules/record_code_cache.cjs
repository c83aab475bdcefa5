/** Runs the program and keeps what was compiled once SIGUSR2 says that it is at work. */
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
