/** Command that confirms a plan, and optionally waits until the change is in force. */
import { randomUUID } from 'node:crypto';

import {
  type ConfirmView,
  type DispatcherView,
  RolloutState,
} from '@cranberryturn/configuration';
import { CranberryError, UnavailableError } from '@cranberryturn/errors';
import type { ProgramHost } from '@cranberryturn/program';
import { sleep } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import type { Command } from 'commander';

import {
  type CommandSession,
  openSession,
  type SessionOptions,
} from './command-session.js';
import { CommandExitCode } from './exit-codes.js';

const pollIntervalMilliseconds: Milliseconds = 200;
const millisecondsPerSecond = 1_000;
/** Longer than the lease of a dispatcher, so that a dead dispatcher leaves the roster within the wait. */
const defaultWaitSeconds = '30';

interface ConfirmOptions {
  readonly wait?: boolean;
  readonly waitSeconds: string;
  readonly requestId?: string;
}

/** Adds `confirm` to the command line. */
export function addConfirmCommand(program: Command, host: ProgramHost): void {
  program
    .command('confirm')
    .description('carry out a plan, if its base version is still current')
    .argument('<plan>', 'identifier that `plan` printed')
    .option('--wait', 'wait until the change is in force at every dispatcher')
    .option('--wait-seconds <seconds>', 'longest wait', defaultWaitSeconds)
    .option('--request-id <id>', 'repeats an earlier confirm')
    .action(async (planId: string, options: ConfirmOptions) => {
      const session = openSession(host, program.opts<SessionOptions>());
      if (session !== undefined) await confirmPlan(session, planId, options);
    });
}

async function confirmPlan(
  session: CommandSession,
  planId: string,
  options: ConfirmOptions,
): Promise<void> {
  const requestId = options.requestId ?? randomUUID();
  const confirmed = await session.client.confirm(planId, requestId);
  if (confirmed.isErr()) {
    session.fail(explainUnknownOutcome(confirmed.error, planId, requestId));
    return;
  }
  const view = confirmed.value;
  if (options.wait !== true) {
    session.print(view, renderAccepted(session, view));
    return;
  }
  session.printProgress(renderAccepted(session, view).trimEnd());
  const limit = Number(options.waitSeconds) * millisecondsPerSecond;
  await waitUntilInForce(session, view, limit);
}

/** After a lost response the outcome is unknown; a repeat with the same request identifier returns it. */
function explainUnknownOutcome(
  error: CranberryError,
  planId: string,
  requestId: string,
): CranberryError {
  if (!(error instanceof UnavailableError)) return error;
  return new UnavailableError(
    `${error.message}\nThe change may have been accepted. Learn its outcome with:\n  cranberryctl confirm ${planId} --request-id ${requestId}`,
    error,
  );
}

async function waitUntilInForce(
  session: CommandSession,
  view: ConfirmView,
  limit: Milliseconds,
): Promise<void> {
  const { client, timers, colors } = session;
  const end = timers.now() + limit;
  let printedProgress = '';
  for (;;) {
    const status = await client.status();
    const dispatchers = status.isOk() ? status.value.dispatchers : [];
    const missing = dispatchers.filter(
      dispatcher => !isInForce(dispatcher, view.version),
    );
    if (status.isOk() && missing.length === 0) {
      const text = `${colors.green('done')}  ${renderInForce(view.version, dispatchers.length)}\n`;
      session.print(
        { ...view, inForce: true, missing: [], missingTargets: [] },
        text,
      );
      return;
    }
    const progress = renderProgress(dispatchers, missing);
    if (progress !== printedProgress) session.printProgress(progress);
    printedProgress = progress;
    if (timers.now() >= end) {
      const missingDispatchers = missing.map(
        dispatcher => dispatcher.dispatcherId,
      );
      const missingTargets = new Set(missing.flatMap(one => one.targetsBehind));
      session.print(
        {
          ...view,
          inForce: false,
          missing: missingDispatchers,
          missingTargets: [...missingTargets],
        },
        `${colors.yellow('wait')}  Version ${String(view.version)} is accepted and will not revert, but is not in force at ${renderMissing(missingDispatchers, missingTargets)} yet. Look with:\n  cranberryctl status\n`,
      );
      session.finish(CommandExitCode.NotInForce);
      return;
    }
    await sleep(timers, pollIntervalMilliseconds);
  }
}

function isInForce(dispatcher: DispatcherView, version: number): boolean {
  return (
    dispatcher.state !== RolloutState.Silent &&
    (dispatcher.configurationVersion ?? 0) >= version &&
    dispatcher.targetsBehind.length === 0
  );
}

function renderInForce(version: number, dispatchers: number): string {
  if (dispatchers === 0) return 'No dispatcher is registered yet.';
  return `Version ${String(version)} is in force at all dispatchers (${String(dispatchers)}) and their sidecars.`;
}

function renderMissing(
  dispatchers: readonly string[],
  targets: ReadonlySet<string>,
): string {
  if (dispatchers.length === 0) return 'all hosts as far as is known';
  const names = `the dispatchers ${dispatchers.join(' ')}`;
  if (targets.size === 0) return names;
  return `${names} and the sidecars ${[...targets].join(' ')}`;
}

function renderProgress(
  dispatchers: readonly DispatcherView[],
  missing: readonly DispatcherView[],
): string {
  const done = dispatchers.length - missing.length;
  const names = missing.map(
    ({ dispatcherId, state, configurationVersion, targetsBehind }) =>
      `${dispatcherId} (${state}, version ${String(configurationVersion ?? 'unknown')}${targetsBehind.length === 0 ? '' : `, sidecars behind: ${targetsBehind.join(' ')}`})`,
  );
  return `      In force at ${String(done)} of ${String(dispatchers.length)} dispatchers; waiting for ${names.join(', ') || 'the status'}.`;
}

function renderAccepted(
  { colors }: CommandSession,
  { version, change }: ConfirmView,
): string {
  return `${colors.green('done')}  ${change.intent.kind} is accepted as version ${String(version)}, confirmed by ${change.operator}.\n`;
}
