/**
 * Bundles each program of the platform into a few files, so that a start reads and compiles little
 * code. The entry file opens the port of the program and then loads the others.
 */
import { existsSync } from 'node:fs';
import { join } from 'node:path';

import { build } from 'esbuild';

const root = join(import.meta.dirname, '..');
const programs = ['dispatcher', 'sidecar', 'control'];

const undiciPoolPlugin = {
  name: 'lean-undici',
  setup(context) {
    context.onResolve({ filter: /^undici$/ }, () => ({
      path: join(root, 'deploy', 'undici-pool.mjs'),
    }));
  },
};

/**
 * Leaves out the native part of msgpackr, which is optional and not in the bundle: searching for it
 * takes time at each start.
 */
const omitNativeDecoderPlugin = {
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

/** Resolves workspace packages to their TypeScript sources, so that no separate build is needed. */
const workspaceSourcesPlugin = {
  name: 'workspace-sources',
  setup(context) {
    context.onResolve({ filter: /^@cranberryturn\// }, ({ path }) => {
      const [, name, subpath] = path.split('/');
      const file =
        subpath === undefined ? 'index.ts' : `adapters/${subpath}.ts`;
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
    // Bundled CommonJS libraries load Node.js modules with `require`.
    banner: {
      js: "import { createRequire as createModuleRequire } from 'node:module'; const require = createModuleRequire(import.meta.url);",
    },
    minifySyntax: true,
    minifyWhitespace: true,
    // Loaded only by programs that log elsewhere than to standard output, which these do not.
    external: ['winston'],
    plugins: [
      workspaceSourcesPlugin,
      undiciPoolPlugin,
      omitNativeDecoderPlugin,
    ],
    logLevel: 'warning',
  });
}
