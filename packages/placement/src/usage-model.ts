/** Model of the resources that tasks of a service use, which corrects the declared resources. */
import type { DeclaredResources } from '@cranberryturn/types';

/** Resources that sidecars measure. */
export interface MeasuredUsage {
  readonly processors: number;
  readonly memoryMebibytes: number;
}

/** Usage of a worker at one moment, and the tasks that ran there. */
export interface UsageSample {
  readonly used: MeasuredUsage;
  /** Resources of the worker. */
  readonly capacity: MeasuredUsage;
  /** Declarations of the tasks of this dispatcher that ran at that moment. */
  readonly tasks: readonly (DeclaredResources | undefined)[];
  /** Average number of tasks of other dispatchers; assumed to use as much as the own tasks. */
  readonly tasksOfOthers: number;
}

/** Resource usage of the tasks of one service. */
export interface UsageModel {
  record(sample: UsageSample): void;
  /** Returns the expected usage; undefined when nothing is known. Measurements take precedence over the declaration. */
  estimate(
    declared: DeclaredResources | undefined,
  ): DeclaredResources | undefined;
}

interface EstimatedUsage {
  sampleCount: number;
  mean: number;
}

type MeasuredResource = keyof MeasuredUsage;

const minimumSamples = 8;
const learningRate = 0.1;
/** Declared amounts are grouped in classes that span two doublings each. */
const doublingsPerClass = 2;
const undeclaredClass = Number.NEGATIVE_INFINITY;

/** Creates an empty model. Processors and memory are estimated by class of declaration; accelerators stay as declared. */
export function createUsageModel(): UsageModel {
  const processors = new ResourceUsageModel('processors');
  const memory = new ResourceUsageModel('memoryMebibytes');
  return {
    record: sample => {
      if (sample.tasks.length === 0) return;
      processors.record(sample);
      memory.record(sample);
    },
    estimate: declared => {
      const expected = {
        processors: processors.estimate(declared),
        memoryMebibytes: memory.estimate(declared),
        accelerators: declared?.accelerators,
      };
      const isKnown = Object.values(expected).some(one => one !== undefined);
      return isKnown ? expected : undefined;
    },
  };
}

/** Estimates the usage of each class from the sums that workers report, by normalised least mean squares. */
class ResourceUsageModel {
  readonly #resource: MeasuredResource;
  readonly #classes = new Map<number, EstimatedUsage>();

  constructor(resource: MeasuredResource) {
    this.#resource = resource;
  }

  estimate(declared: DeclaredResources | undefined): number | undefined {
    const value = declared?.[this.#resource];
    const estimated = this.#classes.get(computeClass(value));
    if (estimated === undefined || estimated.sampleCount < minimumSamples)
      return value;
    return estimated.mean;
  }

  record({ used, capacity, tasks, tasksOfOthers }: UsageSample): void {
    const counts = this.#countTasksByClass(tasks);
    const scale = 1 + tasksOfOthers / tasks.length;
    let expected = 0;
    let squareSum = 0;
    for (const [estimated, count] of counts) {
      expected += estimated.mean * count * scale;
      squareSum += (count * scale) ** 2;
    }
    const error = used[this.#resource] - expected;
    for (const [learned, count] of counts) {
      const correction = (learningRate * error * count * scale) / squareSum;
      const mean = Math.max(0, learned.mean + correction);
      learned.mean = Math.min(mean, capacity[this.#resource]);
      learned.sampleCount += 1;
    }
  }

  #countTasksByClass(
    tasks: readonly (DeclaredResources | undefined)[],
  ): ReadonlyMap<EstimatedUsage, number> {
    const counts = new Map<EstimatedUsage, number>();
    for (const declared of tasks) {
      const estimated = this.#findOrCreateClass(declared?.[this.#resource]);
      counts.set(estimated, (counts.get(estimated) ?? 0) + 1);
    }
    return counts;
  }

  #findOrCreateClass(value: number | undefined): EstimatedUsage {
    const number = computeClass(value);
    const known = this.#classes.get(number);
    if (known !== undefined) return known;
    const created: EstimatedUsage = { sampleCount: 0, mean: value ?? 0 };
    this.#classes.set(number, created);
    return created;
  }
}

function computeClass(value: number | undefined): number {
  if (value === undefined || value <= 0) return undeclaredClass;
  return Math.floor(Math.log2(value) / doublingsPerClass);
}
