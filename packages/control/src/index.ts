/** The control role: replicated log, configuration, claims, roster. */
export {};
