/** Logs how far the founding of the control log is. */
import type { Logger } from '@cranberryturn/logger';
import {
  type FoundingStatus,
  FoundingStep,
} from '@cranberryturn/replicated-log';

/** Writes one line for a change of the step, of the seeds that answer, or of the hosts. */
export function logFounding(logger: Logger, status: FoundingStatus): void {
  logger.info(describeStep(status.step), { ...status });
}

function describeStep(step: FoundingStep): string {
  switch (step) {
    case FoundingStep.AwaitsSeeds:
      return 'founding of the control log waits for a majority of the seeds; check that they run and were started for the first time';
    case FoundingStep.AwaitsHosts:
      return 'founding of the control log waits for more hosts with a disk';
    case FoundingStep.Proposes:
      return 'founding of the control log is proposed to the seeds';
    case FoundingStep.Decided:
      return 'founding members of the control log are decided';
  }
}
