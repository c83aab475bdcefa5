/** See claim.txt. */
import {dirname} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {runLoss} from '../lib-2/lost_machines.mjs';

/** More than half of the machines, and not all of any zone. */
const LOST = new Set([
  'front-klang-a-1',
  'front-klang-a-2',
  'front-klang-b-1',
  'front-klang-b-2',
  'front-penang-a-1',
  'front-johor-a-1',
]);

const code = await runLoss({
  folder: dirname(fileURLToPath(import.meta.url)),
  isLost: name => LOST.has(name),
  isBroken: ({broken}) => broken.length > 0,
  watchMs: 60_000,
});
process.exit(code);
