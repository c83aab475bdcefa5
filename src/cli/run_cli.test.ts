/** Runs the command line in a separate process, as users do. */
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {listenServer} from '../common/listen.js';
import {SETTINGS_TEXT} from '../testing/fixtures.js';
import {findSourcePath} from '../testing/golden.js';
import {COMMANDS} from './commands.js';

const MAIN = findSourcePath('..', 'build', 'src', 'main.js');

interface Result {
  code: number;
  output: string;
  errors: string;
}

function runCommand(...args: string[]): Promise<Result> {
  return new Promise(resolve => {
    execFile(process.execPath, [MAIN, ...args], (error, output, errors) =>
      resolve({code: Number(error?.code ?? 0), output, errors}),
    );
  });
}

describe('the command line', () => {
  it('has a help page for every command', async () => {
    const ids = Object.keys(COMMANDS);
    const pages = await Promise.all(
      ids.map(id => runCommand(...id.split(':'), '--help')),
    );
    for (const [index, {code, output, errors}] of pages.entries()) {
      assert.equal(code, 0, `${ids[index]}: ${errors}`);
      assert.match(output, /USAGE/, ids[index]);
    }
  });

  it('reports an invalid command line and exits with 2', async () => {
    const unknown = await runCommand('serv');
    assert.equal(unknown.code, 2);
    assert.match(unknown.errors, /there is no command 'serv'/);
    const missing = await runCommand('serve');
    assert.equal(missing.code, 2);
    assert.match(missing.errors, /settings/);
  });

  it('rejects invalid settings before anything starts', async () => {
    const path = findSourcePath(
      '..',
      'examples',
      'tongkang',
      'drum-reader.ini',
    );
    const {code, errors} = await runCommand('serve', '--settings', path);
    assert.equal(code, 2);
    assert.match(errors, /\[instance\] is missing/);
    assert.match(errors, /\[service\] is not known here/);
  });

  it('exits when an address is in use, and names the address', async () => {
    // Guards against a process that stays running without serving callers: its peers
    // address is bound, while another process holds its callers address.
    const taken = createServer();
    const address = await listenServer(taken, 'test', '127.0.0.1', 0);
    const folder = mkdtempSync(join(tmpdir(), 'mulberryrouter-cli-'));
    const file = join(folder, 'entry.ini');
    writeFileSync(
      file,
      SETTINGS_TEXT.replace(/callers = .*/, `callers = ${address}`),
    );
    const {code, errors} = await runCommand('serve', '--settings', file);
    taken.close();
    rmSync(folder, {recursive: true});
    assert.equal(code, 1);
    assert.match(errors, /cannot listen for callers on 127.*EADDRINUSE/);
  });
});
