/** Makes target/mulberryrouter.cjs: what one instance on the operators' platform loads, in one file. */
import esbuild from 'esbuild';

await esbuild.build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/mulberryrouter.cjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  external: ['dtrace-provider', 'typescript'],
  define: {'import.meta.url': '""'},
  logLevel: 'error',
});
