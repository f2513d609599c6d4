/** `cranberryctl`, the command line for operators. */
export * from './run-cranberryctl.js';
