/**
 * Makes what one instance on the operators' platform loads: target/program.cjs in
 * one file, a code cache beside it, and target/mulberryrouter.cjs that starts it.
 */
import {spawnSync} from 'node:child_process';
import {readFileSync, rmSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import esbuild from 'esbuild';

/** Where all of it goes, unless the first argument names another folder. */
const FOLDER = process.argv[2] ?? 'target';
const CODE_CACHE = `${FOLDER}/program.cache`;
const RECORDER = `${FOLDER}/record_code_cache.cjs`;
const REHEARSAL = `${FOLDER}/rehearse_start.mjs`;

/**
 * Libraries of which an instance uses a part. Every module that is loaded is
 * compiled at each start and held in memory; after a loss of all instances,
 * callers wait for that on the weakest machine.
 */
const PARTLY_USED = /^(undici|prom-client)$/;

/**
 * Modules that libraries load, or try to, and an instance never calls: HTTP/2,
 * log files that rotate, traces of the operating system, source maps.
 */
const UNUSED = /^(\.\/client-h2(\.js)?|mv|dtrace-provider|source-map-support)$/;

const selectParts = {
  name: 'select-parts',
  setup(build) {
    build.onResolve({filter: PARTLY_USED}, ({path}) => ({
      path: fileURLToPath(new URL(`site_modules/${path}.mjs`, import.meta.url)),
    }));
    build.onResolve({filter: UNUSED}, ({path}) => ({
      path,
      namespace: 'unused',
    }));
    build.onLoad({filter: /.*/, namespace: 'unused'}, () => ({
      contents: 'module.exports = undefined;',
    }));
  },
};

function buildFile(entry, outfile, options) {
  return esbuild.build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    logLevel: 'error',
    ...options,
  });
}

/** The flags that the deploy file starts instances with; a cache is good for no others. */
function readNodeFlags() {
  const deployFile = readFileSync('deploy/system.toml', 'utf8');
  const run = /^run = "node (.*) target\/mulberryrouter\.cjs"$/m.exec(
    deployFile,
  );
  if (!run) throw new Error("deploy/system.toml: no 'run' starts the launcher");
  return run[1].split(' ');
}

/** Instances start without a cache as well, only later. */
function recordCodeCache() {
  rmSync(CODE_CACHE, {force: true});
  const words = [...readNodeFlags(), RECORDER];
  const {status, stderr} = spawnSync(process.execPath, [REHEARSAL, ...words]);
  if (status !== 0) console.error(`no code cache was made: ${stderr}`);
}

await buildFile('platform/main.ts', `${FOLDER}/program.cjs`, {
  minify: true,
  keepNames: true,
  plugins: [selectParts],
  define: {'import.meta.url': '""'},
});
await buildFile(
  'scripts/site_modules/launch.cjs',
  `${FOLDER}/mulberryrouter.cjs`,
);
await buildFile('scripts/site_modules/record_code_cache.cjs', RECORDER);
await buildFile('platform/stand_in/rehearse_start.ts', REHEARSAL, {
  format: 'esm',
  packages: 'external',
});
recordCodeCache();
