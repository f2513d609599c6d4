/** Compares the product's scheduler with alternative placement policies in every scenario. */
import { TargetBehaviour } from './target-behaviour.js';
import type { PolicyFactory, SidecarSettings } from './policy-dispatcher.js';
import { createProductPolicy } from './product-policy.js';
import { findOracleP99 } from './oracle-schedule.js';
import { planArrivals } from './plan-arrivals.js';
import { runScenario } from './run-scenario.js';
import type { ScenarioResult } from './scenario-statistics.js';
import { type Scenario, scenarios } from './scenarios.js';
import { createSimplePolicy } from './simple-policy.js';
import {
  chooseWithinSubset,
  chooseLeastBacklog,
  chooseMostCredits,
  choosePowerOfTwo,
  chooseRandomTarget,
} from './alternative-policies.js';

interface NamedPolicy {
  readonly name: string;
  readonly create: PolicyFactory;
  readonly sidecar: SidecarSettings;
}

/** Result of one policy in one scenario. */
export interface ComparisonRow {
  readonly scenario: string;
  readonly policy: string;
  readonly result: ScenarioResult;
  /** Lower bound from `computeOracleP99`; undefined where workers or dispatchers fail or a burst exceeds the slots. */
  readonly oracleP99: number | undefined;
}

const scenarioWidth = 34;
const policyWidth = 16;

/** Tasks wait in the dispatcher; up to four wait at each target, ordered by latest start. */
const productSettings: SidecarSettings = {
  queueLimit: 4,
  shouldPushCredits: false,
};
/** Tasks wait in the dispatcher, at most one at each target. */
const shortQueueSettings: SidecarSettings = {
  queueLimit: 1,
  shouldPushCredits: false,
};
/** Tasks wait at the targets, in queues that never fill. */
const longQueueSettings: SidecarSettings = {
  queueLimit: 100_000,
  shouldPushCredits: false,
};
const creditSettings: SidecarSettings = {
  queueLimit: 1,
  shouldPushCredits: true,
};

const policies: readonly NamedPolicy[] = [
  definePolicy(
    'random',
    createSimplePolicy(chooseRandomTarget),
    longQueueSettings,
  ),
  definePolicy(
    'two choices',
    createSimplePolicy(choosePowerOfTwo),
    longQueueSettings,
  ),
  definePolicy(
    'least backlog',
    createSimplePolicy(chooseLeastBacklog),
    longQueueSettings,
  ),
  definePolicy(
    'subsets',
    createSimplePolicy(chooseWithinSubset),
    shortQueueSettings,
  ),
  definePolicy(
    'slot credits',
    createSimplePolicy(chooseMostCredits),
    creditSettings,
  ),
  definePolicy('product', createProductPolicy, productSettings),
];

/** Runs every policy in every scenario, or only the policy named `only`. The same seed gives the same rows. */
export function comparePolicies(
  seed: number,
  only?: string,
): readonly ComparisonRow[] {
  return scenarios.flatMap(scenario => {
    const oracleP99 = computeOracleP99(scenario, seed);
    return policies
      .filter(policy => only === undefined || policy.name === only)
      .map(policy => runPolicy(scenario, policy, seed, oracleP99));
  });
}

/** The 99th percentile of response over ideal that an oracle reaches; undefined for scenarios with failures or a burst. */
export function computeOracleP99(
  scenario: Scenario,
  seed: number,
): number | undefined {
  const { workers, slots, nearMilliseconds } = scenario;
  if (scenario.firstWorker !== TargetBehaviour.Healthy) return undefined;
  const { workerDeaths, dispatcherDeaths, burstFactor } = scenario;
  if (workerDeaths + dispatcherDeaths > 0 || burstFactor > 1) return undefined;
  return findOracleP99({
    jobs: planArrivals(scenario, seed),
    slots: workers * slots,
    networkMilliseconds: 2 * nearMilliseconds,
  });
}

/** Formats the comparison as a text table with one line a row. */
export function formatComparison(rows: readonly ComparisonRow[]): string {
  const header = `${'scenario'.padEnd(scenarioWidth)}${'policy'.padEnd(policyWidth)}   p50    p99 oracle answered failed refused open wasted per task doubled violations`;
  return [header, ...rows.map(formatRow)].join('\n');
}

function runPolicy(
  scenario: Scenario,
  policy: NamedPolicy,
  seed: number,
  oracleP99: number | undefined,
): ComparisonRow {
  const result = runScenario(scenario, policy.create, seed, policy.sidecar);
  return { scenario: scenario.name, policy: policy.name, result, oracleP99 };
}

function formatRow(row: ComparisonRow): string {
  const { scenario, policy, result, oracleP99 } = row;
  const columns = [
    result.p50.toFixed(3).padStart(6),
    result.p99.toFixed(2).padStart(6),
    (oracleP99?.toFixed(2) ?? '-').padStart(6),
    String(result.answered).padStart(8),
    String(result.failed).padStart(6),
    String(result.refused).padStart(7),
    String(result.open).padStart(4),
    `${(result.wastedShare * 100).toFixed(1)}%`.padStart(6),
    result.messagesPerTask.toFixed(2).padStart(8),
    String(result.doubleStarts).padStart(7),
    String(result.violations.length).padStart(10),
  ];
  return `${scenario.padEnd(scenarioWidth)}${policy.padEnd(policyWidth)}${columns.join(' ')}`;
}

function definePolicy(
  policy: string,
  create: PolicyFactory,
  sidecar: SidecarSettings,
): NamedPolicy {
  return { name: policy, create, sidecar };
}
