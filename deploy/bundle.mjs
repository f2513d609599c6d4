/** Bundles each program of the platform into one file, so that a start reads and compiles little. */
import { existsSync } from 'node:fs';
import { join } from 'node:path';

import { build } from 'esbuild';

const root = join(import.meta.dirname, '..');
const programs = ['dispatcher', 'sidecar', 'control'];

const leanUndici = {
  name: 'lean-undici',
  setup(context) {
    context.onResolve({ filter: /^undici$/ }, () => ({
      path: join(root, 'deploy', 'undici-pool.mjs'),
    }));
  },
};

/** Takes the packages of this workspace from their sources, which need no build of their own. */
const fromSources = {
  name: 'workspace-sources',
  setup(context) {
    context.onResolve({ filter: /^@cranberryturn\// }, ({ path }) => {
      const name = path.slice('@cranberryturn/'.length);
      const entry = join(root, 'packages', name, 'src', 'index.ts');
      return existsSync(entry)
        ? { path: entry, sideEffects: false }
        : undefined;
    });
  },
};

await build({
  absWorkingDir: root,
  entryPoints: programs.map(
    name => `platform/src/binaries/cranberry-platform-${name}.ts`,
  ),
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  mainFields: ['module', 'main'],
  target: 'node20',
  format: 'esm',
  // Bundled CommonJS libraries load the modules of Node.js with it.
  banner: {
    js: "import { createRequire as createModuleRequire } from 'node:module'; const require = createModuleRequire(import.meta.url);",
  },
  minifySyntax: true,
  minifyWhitespace: true,
  // Loaded by programs that log elsewhere than to the standard output.
  external: ['winston'],
  plugins: [fromSources, leanUndici],
  logLevel: 'warning',
});
