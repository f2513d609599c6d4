/** The dispatcher: answers callers, claims, places, collects. */
export {};
