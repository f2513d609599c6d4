/**
 * Bundles each program of the platform into few files, so that a start reads and compiles little. The
 * first one opens the port of the program, and loads the others.
 */
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

/** msgpackr goes on without its native part, which is not in the bundle: looking for it takes time at each start. */
const noNativeDecoder = {
  name: 'no-native-decoder',
  setup(context) {
    const namespace = 'left-out';
    context.onResolve({ filter: /^msgpackr-extract$/ }, ({ path }) => ({
      path,
      namespace,
    }));
    context.onLoad({ filter: /.*/, namespace }, ({ path }) => ({
      contents: `throw new Error('${path} is left out of the bundle');`,
    }));
  },
};

/** Takes the packages of this workspace from their sources, which need no build of their own. */
const fromSources = {
  name: 'workspace-sources',
  setup(context) {
    context.onResolve({ filter: /^@cranberryturn\// }, ({ path }) => {
      const [, name, part] = path.split('/');
      const file = part === undefined ? 'index.ts' : `adapters/${part}.ts`;
      const entry = join(root, 'packages', name, 'src', file);
      return existsSync(entry)
        ? { path: entry, sideEffects: false }
        : undefined;
    });
  },
};

for (const name of programs) {
  await build({
    absWorkingDir: root,
    entryPoints: [`platform/src/binaries/cranberry-platform-${name}.ts`],
    outdir: 'target',
    outExtension: { '.js': '.mjs' },
    chunkNames: `${name}/[name]-[hash]`,
    bundle: true,
    splitting: true,
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
    plugins: [fromSources, leanUndici, noNativeDecoder],
    logLevel: 'warning',
  });
}
