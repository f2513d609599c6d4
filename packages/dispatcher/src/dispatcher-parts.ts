/** Creates the components of a dispatcher and connects them. */
import type { HeldMemory } from '@cranberryturn/held-memory';
import { createScheduler, type Scheduler } from '@cranberryturn/scheduling';
import { defaultSessionTimes } from '@cranberryturn/sessions';
import { type PauseWatch, watchPauses } from '@cranberryturn/timers';
import { DispatcherMethod, DispatcherReplyKind } from '@cranberryturn/wire';

import { ownerTimeoutMilliseconds } from './acquire-job.js';
import {
  handleDispatcherCall,
  type LendingScheduler,
} from './handle-dispatcher-calls.js';
import { membershipLeaseMilliseconds } from './confirm-membership.js';
import type { DispatcherOptions } from './dispatcher-options.js';
import { DispatcherLinks } from './dispatcher-links.js';
import { createShareExchange } from './exchange-shares.js';
import { TargetInviter } from './invite-targets.js';
import { JobService } from './job-service.js';
import type { DispatcherRegistration } from './maintain-registration.js';
import { SessionSubsets } from './session-subsets.js';
import { TargetDirectory } from './target-directory.js';

/** Components of a dispatcher. */
export interface DispatcherParts {
  readonly options: DispatcherOptions;
  readonly targets: TargetDirectory;
  readonly links: DispatcherLinks;
  readonly jobs: JobService;
  readonly pauses: PauseWatch;
  readonly scheduler: Scheduler;
  /** Undefined until the dispatcher listens and begins to register. */
  registration: DispatcherRegistration | undefined;
}

/** Creates the components, which refer to each other. */
export function createDispatcherParts(
  options: DispatcherOptions,
  memory: HeldMemory,
): DispatcherParts {
  const { timers, network, control, metrics, decisions, self } = options;
  const subsets = new SessionSubsets(control.roster, options.targetsPerService);
  const targets: TargetDirectory = new TargetDirectory({
    timers,
    times: options.sessionTimes ?? defaultSessionTimes,
    control,
    metrics,
    logger: options.logger,
    describeSessions: announcement => subsets.describeSessions(announcement),
    inviteTarget: (target, timeoutMilliseconds) => {
      inviter.invite(target, timeoutMilliseconds);
    },
    handleResult: result => {
      jobs.recordResult(result);
    },
  });
  const links: DispatcherLinks = new DispatcherLinks({
    network,
    timers,
    handleCall: call => {
      if (call.method !== DispatcherMethod.InviteTargets) {
        return handleDispatcherCall(jobs, scheduler, call, timers);
      }
      targets.forwardInvitations(call.targets, call.dispatcher);
      return Promise.resolve({ kind: DispatcherReplyKind.Invited });
    },
  });
  const inviter = new TargetInviter({
    self: self.dispatcherId,
    roster: control.roster,
    subsets,
    links,
    timers,
    isReachable: target => targets.isReachable(target),
  });
  const pauses = watchPauses(timers, ownerTimeoutMilliseconds);
  const jobs: JobService = new JobService({
    self,
    timers,
    control,
    links,
    targets,
    retention: options.retention,
    memory,
    isRegistered: () => isRegistered(parts),
    metrics,
    decisions,
    pauses,
  });
  const create = options.createScheduler ?? createScheduler;
  const scheduler: LendingScheduler = create({
    dispatcherId: self.dispatcherId,
    dataCentre: options.dataCentre,
    shareExchange: createShareExchange(links, control.roster),
    membershipLeaseMilliseconds:
      control.isFresh === undefined ? undefined : membershipLeaseMilliseconds,
    timers,
    seed: options.seed,
    sender: targets,
    observer: jobs,
    decisions,
  });
  targets.attachScheduler(scheduler);
  jobs.attachScheduler(scheduler);
  const parts: DispatcherParts = {
    options,
    targets,
    links,
    jobs,
    pauses,
    scheduler,
    registration: undefined,
  };
  return parts;
}

/** Whether this run is registered at control. */
export function isRegistered({ registration }: DispatcherParts): boolean {
  return registration?.isRegistered() ?? false;
}
