#!/usr/bin/env node
/** Prints what the given numbers of claims cost: `node --expose-gc measure-claim-table.js 100000 1000000`. */
import { measureClaimTable } from '../measures/measure-claim-table.js';

for (const claims of process.argv.slice(2)) {
  const reading = measureClaimTable(Number(claims));
  process.stdout.write(`${JSON.stringify(reading)}\n`);
}
