export default {
  files: [
    'packages/*/dist/**/*.test.js',
    'platform/dist/**/*.test.js',
    '!platform/dist/crowds/**',
  ],
  timeout: '3m',
  concurrency: 6,
  nodeArguments: ['--enable-source-maps'],
};
