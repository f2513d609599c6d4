// The record of a case: what was sent, answered and run, with times in milliseconds from the start of the script.
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

export function createRecord() {
  const startedAt = performance.now();
  const entries = [];
  const now = () => Math.round(performance.now() - startedAt);
  const record = (kind, fields = {}) => {
    const entry = { at: now(), kind, ...fields };
    entries.push(entry);
    return entry;
  };
  const write = file => {
    const lines = entries.map(
      ({ at, kind, ...fields }) =>
        `${String(at).padStart(6)} ${kind} ${JSON.stringify(fields)}`,
    );
    writeFileSync(file, `${lines.join('\n')}\n`);
  };
  return { record, entries, now, write };
}
