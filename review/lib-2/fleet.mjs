/** Starts the project's program as separate processes, and sends calls to them. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {request as sendHttp} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {pause} from './store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const HOST = 'desk.example';
const MIN_PORT = 12_000;
const PORT_COUNT = 18_000;
const usedPorts = new Set();

/** Bounds and sizes of the small sites in the pages. */
const SETTINGS = {
  Region: 'semenanjung',
  Zones: {
    'klang-a': 'semenanjung',
    'klang-b': 'semenanjung',
    'penang-a': 'semenanjung',
    'johor-a': 'semenanjung',
  },
  HeartbeatMs: 1200,
  Limits: {CpuShare: 0.675, Cores: 2, MemoryMb: 400},
  Bounds: {ApplyMs: 2000, DrainMs: 2000, GraceS: 8},
};

/** Whether nothing listens on a port. */
function checkFree(port) {
  const server = createServer();
  return new Promise(resolve => {
    server.on('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/**
 * Finds a port below those that systems give to outgoing channels, so that it is still
 * free when a process starts again.
 */
async function findFreePort() {
  for (;;) {
    const port = MIN_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (usedPorts.has(port)) continue;
    usedPorts.add(port);
    if (await checkFree(port)) return port;
  }
}

function findValue(fields, path) {
  return path.split('.').reduce((value, name) => value?.[name], fields);
}

/** Fills in the deployment's template as DEPLOY.md describes. */
function renderTemplate(template, fields) {
  return template
    .replace(/\{\{#Zones\}\}([^]*?)\{\{\/Zones\}\}/, (_, body) =>
      Object.entries(fields.Zones)
        .map(([zone, region]) =>
          body.replace('{{@}}', zone).replace('{{.}}', region),
        )
        .join(''),
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => findValue(fields, path) ?? '');
}

/** The command and the template of the deploy file. */
function readDeployment() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const [, run] = /^run = "(.*)"$/m.exec(text);
  const [, template] = /^template = "(.*)"$/m.exec(text);
  return {
    words: run.split(' '),
    template: readFileSync(join(ROOT, template), 'utf8'),
  };
}

/** Creates a fleet whose processes write their settings and logs to a new folder. */
export function createFleet() {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const {words, template} = readDeployment();
  const gateways = [];

  function startProcess(gateway) {
    const log = openSync(join(folder, `${gateway.name}.log`), 'a');
    const child = spawn(words[0], words.slice(1), {
      cwd: ROOT,
      stdio: ['ignore', log, log],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        MULBERRYROUTER_NODE_FILE: gateway.settings,
      },
    });
    closeSync(log);
    gateway.child = child;
    gateway.exited = new Promise(resolve =>
      child.on('exit', (code, signal) => {
        gateway.child = undefined;
        gateway.exits.push({code, signal, at: performance.now()});
        resolve();
      }),
    );
  }

  async function isReady({ready}) {
    const answer = await call(ready, {path: '/readyz'});

    return answer.status === 200;
  }

  return {
    gateways,
    folder,
    /** Starts a gateway that reaches the store at `store`. */
    async startGateway(name, store, zone = 'klang-a') {
      const callers = `127.0.0.1:${await findFreePort()}`;
      const ready = `127.0.0.1:${await findFreePort()}`;
      const settings = join(folder, `${name}.ini`);
      const fields = {
        ...SETTINGS,
        Node: name,
        Zone: zone,
        Ip: '127.0.0.1',
        Listen: {Front: callers, Ready: ready},
        PortRange: [await findFreePort()],
        Platform: {Addr: store},
      };
      writeFileSync(settings, renderTemplate(template, fields));
      const gateway = {name, callers, ready, settings, exits: []};
      gateways.push(gateway);
      startProcess(gateway);
      return gateway;
    },
    restart: startProcess,
    async awaitReady(timeoutMs = 15_000) {
      const endsAt = performance.now() + timeoutMs;
      for (const gateway of gateways) {
        while (!(await isReady(gateway))) {
          if (performance.now() > endsAt) return false;
          await pause(50);
        }
      }
      return true;
    },
    signal(gateway, signal) {
      gateway.child?.kill(signal);
    },
    readLog: ({name}) => readFileSync(join(folder, `${name}.log`), 'utf8'),
    async close() {
      for (const {child} of gateways) {
        child?.kill('SIGCONT');
        child?.kill('SIGKILL');
      }
      await Promise.all(gateways.map(({exited}) => exited));
      if (!process.env.KEEP) rmSync(folder, {recursive: true, force: true});
    },
  };
}

/** Sends one call on a new channel; resolves with status 0 if no answer came. */
export function call(
  address,
  {method = 'GET', path, headers = {}, body, timeoutMs = 3000, onHead, onData},
) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const chunks = [];
    let status = 0;
    let received = {};
    const finish = isWhole =>
      resolve({
        status,
        headers: received,
        body: Buffer.concat(chunks).toString(),
        isWhole,
      });
    const request = sendHttp(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {host: HOST, ...headers},
      },
      response => {
        status = response.statusCode;
        received = response.headers;
        onHead?.(response, request);
        response.on('data', chunk => {
          chunks.push(chunk);
          onData?.(chunk, request);
        });
        response.on('end', () => finish(response.complete));
        response.on('error', () => finish(false));
        response.on('close', () => finish(response.complete));
      },
    );
    request.setTimeout(timeoutMs, () => request.destroy());
    request.on('error', () => finish(false));
    request.end(body);
  });
}

/** Writes the record of a run: what was sent, answered and run. */
export function createRecord(file) {
  const startedAt = performance.now();
  const lines = [];
  return {
    add(text) {
      const atS = ((performance.now() - startedAt) / 1000).toFixed(3);
      lines.push(`${atS.padStart(8)} ${text}`);
    },
    write() {
      writeFileSync(file, lines.join('\n') + '\n');
    },
  };
}
