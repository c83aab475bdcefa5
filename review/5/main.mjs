/** See claim.txt. */
import {dirname} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {runLoss} from '../lib-2/lost_machines.mjs';

/** The machines of the site with its spare ones, and those that are left. */
const MACHINES = {'klang-a': 5, 'klang-b': 5, 'penang-a': 4, 'johor-a': 4};
const LEFT = new Set([
  'front-klang-a-3',
  'front-klang-b-3',
  'front-penang-a-1',
  'front-johor-a-1',
]);

/** The day goes on for 62 s after the loss; then the 18 s of FinishS begin. */
const FINISH_MS = 80_000;

const code = await runLoss({
  folder: dirname(fileURLToPath(import.meta.url)),
  machines: MACHINES,
  isLost: name => !LEFT.has(name),
  isBroken: ({broken}) => broken.length > 0,
  finishMs: FINISH_MS,
  watchMs: FINISH_MS,
});
process.exit(code);
