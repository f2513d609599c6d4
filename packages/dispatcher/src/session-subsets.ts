/** Computes which dispatchers each target should have sessions with. */
import type { RosterFeed } from '@cranberryturn/membership';
import {
  planSessions,
  type SessionPlan,
  SessionPlanKind,
} from '@cranberryturn/sessions';
import type {
  DispatcherId,
  DispatcherRecord,
  ServiceName,
  TargetAnnouncement,
  TargetId,
} from '@cranberryturn/types';
import { ToTargetKind, type ToTargetMessage } from '@cranberryturn/wire';

/** Message that informs a target which dispatchers to have sessions with. */
export type ApplySessionsMessage = Extract<
  ToTargetMessage,
  { readonly kind: ToTargetKind.ApplySessions }
>;

/** Session plan of each service, computed once per roster version. */
export class SessionSubsets {
  readonly #roster: RosterFeed;
  readonly #targetsPerService: number | undefined;
  readonly #plans = new Map<ServiceName, SessionPlan>();
  #plannedVersion = 0;

  constructor(roster: RosterFeed, targetsPerService: number | undefined) {
    this.#roster = roster;
    this.#targetsPerService = targetsPerService;
  }

  /** Describes the sessions of a registered target; undefined when subsets are not used. */
  describeSessions(
    announcement: TargetAnnouncement,
  ): ApplySessionsMessage | undefined {
    if (this.#targetsPerService === undefined) return undefined;
    const { version } = this.#roster.current();
    const plan = this.#planService(announcement.service);
    const dispatchers = this.#listDispatchers(plan, announcement.targetId);
    if (dispatchers === undefined) return undefined;
    return {
      kind: ToTargetKind.ApplySessions,
      rosterVersion: version,
      dispatchers: dispatchers.map(({ dispatcherId, address }) => ({
        dispatcherId,
        address,
      })),
      leaveOthers: plan.kind === SessionPlanKind.Subsets,
    };
  }

  /** Lists the dispatchers that should have a session with a target. */
  findHolders(targetId: TargetId): readonly DispatcherRecord[] {
    const target = this.#roster
      .current()
      .targets.find(one => one.targetId === targetId);
    if (target === undefined) return [];
    const plan = this.#planService(target.service);
    return this.#listDispatchers(plan, targetId) ?? [];
  }

  #listDispatchers(
    plan: SessionPlan,
    targetId: TargetId,
  ): readonly DispatcherRecord[] | undefined {
    const { dispatchers } = this.#roster.current();
    switch (plan.kind) {
      case SessionPlanKind.FullMesh:
        return dispatchers;
      case SessionPlanKind.Subsets: {
        const chosen = new Set<DispatcherId>(
          plan.dispatchersByTarget.get(targetId),
        );
        if (chosen.size === 0) return undefined;
        return dispatchers.filter(one => chosen.has(one.dispatcherId));
      }
    }
  }

  #planService(service: ServiceName): SessionPlan {
    const { version, targets, dispatchers } = this.#roster.current();
    if (version !== this.#plannedVersion) this.#plans.clear();
    this.#plannedVersion = version;
    const known = this.#plans.get(service);
    if (known !== undefined) return known;
    const plan = planSessions({
      targets: targets.filter(one => one.service === service),
      dispatchers: dispatchers.map(one => one.dispatcherId),
      targetsPerDispatcher: this.#targetsPerService ?? targets.length,
    });
    this.#plans.set(service, plan);
    return plan;
  }
}
