#!/usr/bin/env node
/**
 * Prints the cost of claim tables of the given sizes: `node --expose-gc measure-claim-table.js
 * 100000 1000000`.
 */
import { measureClaimTable } from '../measures/measure-claim-table.js';

for (const claims of process.argv.slice(2)) {
  const reading = measureClaimTable(Number(claims));
  process.stdout.write(`${JSON.stringify(reading)}\n`);
}
