/** Learns what the tasks of a service really use of a worker, and how far declarations are off. */
import type { DeclaredResources } from '@cranberryturn/types';

/** Processors and memory. */
export interface MeasuredUsage {
  readonly processors: number;
  readonly memoryMebibytes: number;
}

/** What a worker used at one moment, and what ran there. */
export interface UsageReading {
  readonly used: MeasuredUsage;
  /** What the worker has. */
  readonly capacity: MeasuredUsage;
  /** Declarations of the own tasks that ran at that moment. */
  readonly tasks: readonly (DeclaredResources | undefined)[];
  /** Tasks of other dispatchers that ran then, on average; they are taken to be like the own ones. */
  readonly others: number;
}

/** Learned usage of one service. */
export interface UsageModel {
  record(reading: UsageReading): void;
  /** Expected usage; what was learned beats what is declared. Undefined when nothing is known. */
  estimate(
    declared: DeclaredResources | undefined,
  ): DeclaredResources | undefined;
}

interface LearnedUse {
  readings: number;
  mean: number;
}

type MeasuredResource = keyof MeasuredUsage;

const fewestReadings = 8;
const learningRate = 0.1;
const logarithmStepsPerClass = 2;
const undeclaredClass = Number.NEGATIVE_INFINITY;

/** Creates a model. It learns processors and memory by class of declaration; accelerators are as declared. */
export function createUsageModel(): UsageModel {
  const processors = new ResourceModel('processors');
  const memory = new ResourceModel('memoryMebibytes');
  return {
    record: reading => {
      if (reading.tasks.length === 0) return;
      processors.record(reading);
      memory.record(reading);
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

/** Fits the use of each class to the sums that workers report, by normalised least mean squares. */
class ResourceModel {
  readonly #resource: MeasuredResource;
  readonly #classes = new Map<number, LearnedUse>();

  constructor(resource: MeasuredResource) {
    this.#resource = resource;
  }

  estimate(declared: DeclaredResources | undefined): number | undefined {
    const value = declared?.[this.#resource];
    const learned = this.#classes.get(classNumber(value));
    if (learned === undefined || learned.readings < fewestReadings)
      return value;
    return learned.mean;
  }

  record({ used, capacity, tasks, others }: UsageReading): void {
    const counts = this.#countClasses(tasks);
    const likeOwn = 1 + others / tasks.length;
    let expected = 0;
    let squares = 0;
    for (const [learned, count] of counts) {
      expected += learned.mean * count * likeOwn;
      squares += (count * likeOwn) ** 2;
    }
    const error = used[this.#resource] - expected;
    for (const [learned, count] of counts) {
      const change = (learningRate * error * count * likeOwn) / squares;
      const mean = Math.max(0, learned.mean + change);
      learned.mean = Math.min(mean, capacity[this.#resource]);
      learned.readings += 1;
    }
  }

  #countClasses(
    tasks: readonly (DeclaredResources | undefined)[],
  ): ReadonlyMap<LearnedUse, number> {
    const counts = new Map<LearnedUse, number>();
    for (const declared of tasks) {
      const learned = this.#classOf(declared?.[this.#resource]);
      counts.set(learned, (counts.get(learned) ?? 0) + 1);
    }
    return counts;
  }

  #classOf(value: number | undefined): LearnedUse {
    const number = classNumber(value);
    const known = this.#classes.get(number);
    if (known !== undefined) return known;
    const created: LearnedUse = { readings: 0, mean: value ?? 0 };
    this.#classes.set(number, created);
    return created;
  }
}

function classNumber(value: number | undefined): number {
  if (value === undefined || value <= 0) return undeclaredClass;
  return Math.floor(Math.log2(value) / logarithmStepsPerClass);
}
