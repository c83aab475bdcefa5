/** Entry point of the program. */
import {runCli} from './cli/run_cli.js';

void runCli(process.argv.slice(2));
