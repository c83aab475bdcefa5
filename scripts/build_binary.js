/** Builds dist/mulberryrouter, one executable with the program and Node.js. */
import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, mkdirSync, writeFileSync} from 'node:fs';
import esbuild from 'esbuild';

const BUNDLE = 'dist/main.cjs';
const BLOB = 'dist/main.blob';
const CONFIG = 'dist/sea.json';
const BINARY = 'dist/mulberryrouter';
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', {recursive: true});
await esbuild.build({
  entryPoints: ['build/src/main.js'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  external: ['dtrace-provider'],
  define: {'import.meta.dirname': '""', 'import.meta.url': '""'},
  logLevel: 'error',
});
writeFileSync(
  CONFIG,
  JSON.stringify({
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', CONFIG]);
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
execFileSync('npx', [
  'postject',
  BINARY,
  'NODE_SEA_BLOB',
  BLOB,
  '--sentinel-fuse',
  FUSE,
]);
console.log(`${BINARY} is ready`);
