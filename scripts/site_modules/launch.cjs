/**
 * Starts the program. Compiling it takes a weak machine longer than all else that
 * a start does before it listens, and after a loss of all instances every caller
 * waits for that.
 */
'use strict';
const {
  compileProgram,
  loadCodeCache,
  runProgram,
} = require('./compile_program.cjs');

// Without a handler the signal ends the process, which reads its settings anew
// in any case: they are read after all that is loaded here.
process.on('SIGHUP', () => {});

runProgram(compileProgram(loadCodeCache()));
