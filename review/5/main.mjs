/** See claim.txt. */
import {dirname} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {runLoss} from '../lib-2/lost_machines.mjs';

const SURVIVOR = 'front-klang-b-1';

const code = await runLoss({
  folder: dirname(fileURLToPath(import.meta.url)),
  isLost: name => name !== SURVIVOR,
  isBroken: ({never}) => never.length > 0,
  watchMs: 92_000,
});
process.exit(code);
