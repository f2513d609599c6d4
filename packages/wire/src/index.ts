/** Messages between processes, their codec, connections and remote calls. */
export {};
