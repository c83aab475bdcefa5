/** Makes target/mulberryrouter.cjs: what one instance on the operators' platform loads, in one file. */
import {fileURLToPath} from 'node:url';
import esbuild from 'esbuild';

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
      path: fileURLToPath(new URL(`site_modules/${path}.cjs`, import.meta.url)),
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

await esbuild.build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/mulberryrouter.cjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  plugins: [selectParts],
  define: {'import.meta.url': '""'},
  logLevel: 'error',
});
