/**
 * Builds what an instance on the operators' platform loads: the program in one file,
 * target/program.cjs, its code cache, and the launcher target/mulberryrouter.cjs.
 */
import {spawnSync} from 'node:child_process';
import {readFileSync, rmSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import esbuild from 'esbuild';

/** Output folder; the first argument overrides the default. */
const FOLDER = process.argv[2] ?? 'target';
const CODE_CACHE = `${FOLDER}/program.cache`;
const RECORDER = `${FOLDER}/record_code_cache.cjs`;
const REHEARSAL = `${FOLDER}/rehearse_start.mjs`;

/**
 * Libraries of which an instance uses only a part. Every loaded module is compiled at
 * each start and stays in memory; after a loss of all instances, callers wait for this
 * on the weakest machine.
 */
const PARTLY_USED = /^prom-client$/;

/**
 * Modules that libraries load or try to load, but an instance never calls: HTTP/2, log
 * file rotation, operating system traces, source maps.
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

/**
 * Reads the Node.js flags with which the deploy file starts instances. A code cache is
 * valid only for the flags it was made with.
 */
function readNodeFlags() {
  const deployFile = readFileSync('deploy/system.toml', 'utf8');
  const run = /^run = "node (.*) target\/mulberryrouter\.cjs"$/m.exec(
    deployFile,
  );
  if (!run)
    throw new Error(
      "deploy/system.toml: no 'run' command starts target/mulberryrouter.cjs",
    );
  return run[1].split(' ');
}

/**
 * Records the code cache. A failure is only printed, because instances also start
 * without the cache, but more slowly.
 */
function recordCodeCache() {
  rmSync(CODE_CACHE, {force: true});
  const words = [...readNodeFlags(), RECORDER];
  const {status, stderr} = spawnSync(process.execPath, [REHEARSAL, ...words]);
  if (status !== 0) console.error(`recording the code cache failed: ${stderr}`);
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
