/** Starts the program with the command and the template of the deploy file. */
import process from 'node:process';
import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {join} from 'node:path';

const ROOT = join(import.meta.dirname, '..', '..');

/** Finds the command of the deploy file's role. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Fills in the template of the deploy file: values, and the section of the zones. */
function renderTemplate(fields) {
  const text = readFileSync(join(ROOT, 'deploy/gateway.ini'), 'utf8');
  const find = path =>
    path.split('.').reduce((value, key) => value?.[key], fields);
  const expanded = text.replace(
    /\{\{#(\w+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
    (_all, name, inner) =>
      Object.entries(fields[name])
        .map(([key, value]) =>
          inner.replaceAll('{{@}}', key).replaceAll('{{.}}', value),
        )
        .join(''),
  );
  return expanded.replace(/\{\{([\w.]+)\}\}/g, (_all, path) => find(path));
}

const usedPorts = new Set();

/** Finds a free port of a loopback address that was not returned before. */
async function findPort(host) {
  const server = createServer();
  await new Promise(resolve => server.listen(0, host, resolve));
  const {port} = server.address();
  await new Promise(resolve => server.close(resolve));
  if (usedPorts.has(port)) return findPort(host);
  usedPorts.add(port);
  return port;
}

const running = new Set();

/** Ends the processes that still run, also stopped ones, however this program ends. */
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'])
  process.once(signal, () => process.exit(2));

/** The bounds of the small deployments. */
const BOUNDS = {ApplyMs: 2000, DrainMs: 2000, GraceS: 8};

/** Prepares the process of one machine. `folder` receives its settings and log. */
export async function createGateway({name, zone, zones, store, folder}) {
  const host = '127.0.0.1';
  const ports = [];
  for (let each = 0; each < 3; each++) ports.push(await findPort(host));
  const settings = join(folder, `${name}.ini`);
  writeFileSync(
    settings,
    renderTemplate({
      Node: name,
      Region: 'semenanjung',
      Zone: zone,
      Ip: host,
      Zones: Object.fromEntries(zones.map(each => [each, 'semenanjung'])),
      Limits: {CpuShare: 0.675, Cores: 2, MemoryMb: 400},
      Listen: {Front: `${host}:${ports[0]}`, Ready: `${host}:${ports[1]}`},
      PortRange: [ports[2], ports[2]],
      Platform: {Addr: store},
      HeartbeatMs: 1200,
      Bounds: BOUNDS,
    }),
  );
  const log = createWriteStream(join(folder, `${name}.log`), {flags: 'a'});
  const [program, ...words] = readCommand();
  let child;

  return {
    name,
    zone,
    front: {host, port: ports[0]},
    ready: {host, port: ports[1]},
    getPid: () => child?.pid,
    start() {
      const started = spawn(program, words, {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          MULBERRYROUTER_NODE_FILE: settings,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      child = started;
      running.add(started);
      started.stdout.pipe(log, {end: false});
      started.stderr.pipe(log, {end: false});
      started.on('exit', () => {
        running.delete(started);
        if (child === started) child = undefined;
      });
    },
    signal: signal => child?.kill(signal),
    /** Ends the process, whether or not it is stopped. */
    async end() {
      if (!child) return;
      const ended = new Promise(resolve => child.once('exit', resolve));
      child.kill('SIGKILL');
      await ended;
    },
  };
}
