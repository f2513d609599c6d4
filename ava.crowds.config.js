/** The tests with crowds of clients measure whole processes, so they run one at a time and beside no other test. */
export default {
  files: ['platform/dist/crowds/*.test.js'],
  timeout: '3m',
  concurrency: 1,
  serial: true,
  nodeArguments: ['--enable-source-maps'],
};
