/** The operator's command line, cranberryctl. */
export * from './run-cranberryctl.js';
