/** Load generator, stand-ins, trace replay, checker and reports. */
export {};
