/** `cranberry-bench run`: measures responses and messages under load and faults, and checks the invariants. */
import { createSystemTimerService } from '@cranberryturn/timers';
import type { Command } from 'commander';

import {
  type DeploymentShape,
  deploymentShapes,
} from '../load/deployment-shape.js';
import { compareLoadResults } from '../run/compare-load-results.js';
import { formatLoadResults } from '../run/format-load-results.js';
import { type LoadCase, LoadEvent, Policy } from '../run/load-case.js';
import {
  type LoadCaseResult,
  measureLoadCase,
} from '../run/measure-load-case.js';
import {
  defaultSeed,
  outputResult,
  loadComparison,
  type MeasuringOptions,
  parseCount,
  print,
} from './shared-options.js';

interface RunOptions extends MeasuringOptions {
  readonly seconds: number;
  readonly deployment?: string;
  readonly event?: string;
  readonly baseline: boolean;
}

const defaultSeconds = 8;
const millisecondsPerSecond = 1_000;

/** Adds the command to `program`. */
export function addRunCommand(program: Command): void {
  program
    .command('run', { isDefault: true })
    .description('measure response / ideal and messages under load and faults')
    .option('--seconds <n>', 'length of each load', parseCount, defaultSeconds)
    .option('--seed <n>', 'seed of all loads', parseCount, defaultSeed)
    .option('--deployment <name>', 'only this deployment')
    .option('--event <text>', 'only events whose name contains this')
    .option('--no-baseline', 'skip the random placement')
    .option('--json', 'print JSON')
    .option('--save <file>', 'save the result')
    .option('--compare <file or revision>', 'show before and after')
    .action(runLoads);
}

async function runLoads(options: RunOptions): Promise<void> {
  const timers = createSystemTimerService();
  const results: LoadCaseResult[] = [];
  for (const load of listCases(options)) {
    if (options.json !== true) {
      print(`${load.shape.name}, ${load.event}, ${load.policy} ...`);
    }
    results.push(await measureLoadCase(load, timers));
  }
  const violations = results.flatMap(result => result.violations).length;
  await outputResult('run', options, results, formatLoadResults(results));
  if (options.compare !== undefined) {
    const before = await loadComparison<readonly LoadCaseResult[]>(
      options.compare,
    );
    print(`Before: commit ${before.origin.commit}`);
    print(compareLoadResults(before.content, results));
  }
  // Timings never fail the command; violated invariants do.
  if (violations > 0) process.exitCode = 1;
}

function listCases(options: RunOptions): readonly LoadCase[] {
  const shapes = deploymentShapes.filter(
    shape =>
      options.deployment === undefined || shape.name === options.deployment,
  );
  const events = Object.values(LoadEvent).filter(event =>
    event.includes(options.event ?? ''),
  );
  return shapes.flatMap(shape =>
    events.flatMap(event => listPolicies(options, shape, event)),
  );
}

function listPolicies(
  options: RunOptions,
  shape: DeploymentShape,
  event: LoadEvent,
): readonly LoadCase[] {
  const policies = options.baseline
    ? [Policy.Random, Policy.Product]
    : [Policy.Product];
  return policies.map(policy => ({
    shape,
    event,
    policy,
    seed: options.seed,
    durationMilliseconds: options.seconds * millisecondsPerSecond,
  }));
}
