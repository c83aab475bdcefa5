/**
 * Starts the program from the code cache. On a weak machine, compiling takes longer than
 * everything else before the instance listens, and after a loss of all instances every
 * caller waits for it.
 */
'use strict';
const {
  compileProgram,
  loadCodeCache,
  runProgram,
} = require('./compile_program.cjs');

// Without a handler, SIGHUP would end the process. Ignoring it here loses nothing,
// because the settings are read only after the program has been loaded.
process.on('SIGHUP', () => {});

runProgram(compileProgram(loadCodeCache()));
