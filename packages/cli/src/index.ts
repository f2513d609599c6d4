/** The operator's command line, cranberryctl. */
export {};
