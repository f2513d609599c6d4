/** Commands that plan an intent: `cranberryctl plan <intent>`. */
import type { ProgramHost } from '@cranberryturn/program';
import { type Intent, IntentKind } from '@cranberryturn/types';
import { Command, InvalidArgumentError } from 'commander';

import { openSession, type SessionOptions } from './command-session.js';
import { renderPlan } from './render-plan.js';

const defaultDeadlineMilliseconds = 10_000;
const defaultQueueLimit = 1_000;
const defaultRetryBudgetPercent = 10;
const millisecondsPerSecond = 1_000;
const noLimitArgument = 'none';

type Options = Readonly<Record<string, string | number | undefined>>;
type AddIntent = (
  command: Command,
  composeIntent: (argument: string, options: Options) => unknown,
) => void;

/** Adds `plan` with one subcommand for each intent. */
export function addPlanCommands(program: Command, host: ProgramHost): void {
  const plan = program
    .command('plan')
    .description('plan an intent and show every effect; changes nothing');
  const addIntent: AddIntent = (command, compose) => {
    plan.addCommand(
      command
        .copyInheritedSettings(plan)
        .action(async (argument: string, options: Options) => {
          const shared = program.opts<SessionOptions>();
          await printPlan(host, shared, compose(argument, options) as Intent);
        }),
    );
  };
  addWorkerIntents(addIntent);
  addLocationIntents(addIntent);
  addServiceIntents(addIntent);
  addTeamIntents(addIntent);
  addControlHostIntents(addIntent);
  addRetentionIntent(addIntent);
}

async function printPlan(
  host: ProgramHost,
  options: SessionOptions,
  intent: Intent,
): Promise<void> {
  const session = openSession(host, options);
  if (session === undefined) return;
  const planned = await session.client.plan(intent);
  planned.match(
    view => {
      session.print(view, renderPlan(view, session.colors));
    },
    error => {
      session.fail(error);
    },
  );
}

function addWorkerIntents(addIntent: AddIntent): void {
  addIntent(
    createCommand(IntentKind.AddWorker, '<worker>', 'declare a worker')
      .requiredOption('--service <service>', 'service of the worker')
      .requiredOption('--rack <rack>', 'rack of the worker')
      .requiredOption('--data-centre <name>', 'its data centre')
      .option('--slots <count>', 'overrides the announced slots', parseNumber),
    (targetId, { service, rack, dataCentre, slots }) => ({
      kind: IntentKind.AddWorker,
      worker: { targetId, service, rack, dataCentre, slots },
    }),
  );
  const targetIntents = [
    [IntentKind.RemoveWorker, 'take a worker out of use'],
    [IntentKind.DrainWorker, 'stop new work on a worker'],
    [IntentKind.UndrainWorker, 'let a worker receive work again'],
  ] as const;
  for (const [kind, text] of targetIntents) {
    addIntent(createCommand(kind, '<worker>', text), targetId => ({
      kind,
      targetId,
    }));
  }
}

function addRetentionIntent(addIntent: AddIntent): void {
  addIntent(
    createCommand(
      IntentKind.SetClaimRetention,
      '<maximum-claims>',
      'set how many claims control keeps, and for how long',
    )
      .requiredOption(
        '--answered-seconds <seconds>',
        'time after the answer',
        parseNumber,
      )
      .requiredOption(
        '--unanswered-seconds <seconds>',
        'time after the last grant without an answer',
        parseNumber,
      ),
    (maximumClaims, { answeredSeconds, unansweredSeconds }) => ({
      kind: IntentKind.SetClaimRetention,
      retention: {
        finishedMilliseconds: Number(answeredSeconds) * millisecondsPerSecond,
        unfinishedMilliseconds:
          Number(unansweredSeconds) * millisecondsPerSecond,
        maximumClaims: Number(maximumClaims),
      },
    }),
  );
}

function addLocationIntents(addIntent: AddIntent): void {
  const racks = [
    [IntentKind.DrainRack, 'stop new work in a rack'],
    [IntentKind.UndrainRack, 'let a rack receive work again'],
  ] as const;
  for (const [kind, text] of racks) {
    addIntent(createCommand(kind, '<rack>', text), rack => ({
      kind,
      rack,
    }));
  }
  const dataCentres = [
    [IntentKind.DrainDataCentre, 'stop new work in a data centre'],
    [IntentKind.UndrainDataCentre, 'let a data centre receive work again'],
  ] as const;
  for (const [kind, text] of dataCentres) {
    addIntent(createCommand(kind, '<data-centre>', text), dataCentre => ({
      kind,
      dataCentre,
    }));
  }
}

function addServiceIntents(addIntent: AddIntent): void {
  addIntent(
    createCommand(IntentKind.SetService, '<service>', 'declare a service')
      .option('--concurrency <tasks>', 'maximum concurrent tasks', parseNumber)
      .option(
        '--starts-per-second <rate>',
        'maximum task starts per second',
        parseNumber,
      )
      .option(
        '--queue <tasks>',
        'maximum tasks queued in one dispatcher',
        parseNumber,
        defaultQueueLimit,
      )
      .option(
        '--deadline <milliseconds>',
        'default deadline of a job',
        parseNumber,
        defaultDeadlineMilliseconds,
      )
      .option(
        '--retry-budget <percent>',
        'maximum retries per hundred first attempts',
        parseNumber,
        defaultRetryBudgetPercent,
      ),
    (service, options) => ({
      kind: IntentKind.SetService,
      service: {
        service,
        concurrencyLimit: options['concurrency'],
        startsPerSecondLimit: options['startsPerSecond'],
        queueLimit: options['queue'],
        defaultDeadlineMilliseconds: options['deadline'],
        retryBudgetPercent: options['retryBudget'],
      },
    }),
  );
  addIntent(
    createCommand(
      IntentKind.SetLimit,
      '<service>',
      'change limits of a service',
    )
      .option('--concurrency <tasks>', 'a number or "none"', parseLimit)
      .option('--starts-per-second <rate>', 'a number or "none"', parseLimit)
      .option('--queue <tasks>', 'maximum queued tasks', parseNumber)
      .option('--deadline <milliseconds>', 'default deadline', parseNumber)
      .option('--retry-budget <percent>', 'retry budget', parseNumber),
    (service, options) => ({
      kind: IntentKind.SetLimit,
      service,
      concurrencyLimit: options['concurrency'],
      startsPerSecondLimit: options['startsPerSecond'],
      queueLimit: options['queue'],
      defaultDeadlineMilliseconds: options['deadline'],
      retryBudgetPercent: options['retryBudget'],
    }),
  );
  addIntent(
    createCommand(IntentKind.RemoveService, '<service>', 'remove a service'),
    service => ({ kind: IntentKind.RemoveService, service }),
  );
}

function addTeamIntents(addIntent: AddIntent): void {
  addIntent(
    createCommand(IntentKind.SetQuota, '<team>', 'declare the quota of a team')
      .requiredOption(
        '--weight <weight>',
        'share under contention',
        parseNumber,
      )
      .option('--concurrency <tasks>', 'maximum concurrent tasks', parseNumber)
      .option(
        '--starts-per-second <rate>',
        'maximum task starts per second',
        parseNumber,
      ),
    (team, { weight, concurrency, startsPerSecond }) => ({
      kind: IntentKind.SetQuota,
      team: {
        team,
        weight,
        concurrencyQuota: concurrency,
        startsPerSecondQuota: startsPerSecond,
      },
    }),
  );
  addIntent(
    createCommand(IntentKind.RemoveTeam, '<team>', 'remove a team'),
    team => ({
      kind: IntentKind.RemoveTeam,
      team,
    }),
  );
}

function addControlHostIntents(addIntent: AddIntent): void {
  addIntent(
    addAddressOptions(
      createCommand(
        IntentKind.AddControlHost,
        '<replica>',
        'add a control replica',
      ),
    ),
    (replicaId, options) => ({
      kind: IntentKind.AddControlHost,
      controlHost: composeControlHost(replicaId, options),
    }),
  );
  addIntent(
    createCommand(
      IntentKind.RemoveControlHost,
      '<replica>',
      'remove a replica',
    ),
    replicaId => ({ kind: IntentKind.RemoveControlHost, replicaId }),
  );
  addIntent(
    addAddressOptions(
      createCommand(
        IntentKind.ReplaceControlHost,
        '<replica>',
        'replace a replica by one on a blank host',
      ),
    ).requiredOption('--by <replica>', 'identity that the blank host logged'),
    (replicaId, options) => ({
      kind: IntentKind.ReplaceControlHost,
      replicaId,
      replacement: composeControlHost(String(options['by']), options),
    }),
  );
}

function createCommand(
  kind: IntentKind,
  argument: string,
  text: string,
): Command {
  return new Command(kind).argument(argument).description(text).exitOverride();
}

function addAddressOptions(command: Command): Command {
  return command
    .requiredOption('--host <host>', 'name of the host')
    .requiredOption('--address <ip>', 'IP address of the replica')
    .requiredOption('--port <port>', 'port of the replica', parseNumber);
}

function composeControlHost(replicaId: string, options: Options) {
  const { host, address, port } = options;
  return { replicaId, host, address: { address, port } };
}

function parseNumber(text: string): number {
  const value = Number(text);
  if (text.trim() !== '' && Number.isFinite(value)) return value;
  throw new InvalidArgumentError('It must be a number.');
}

function parseLimit(text: string): number | null {
  return text === noLimitArgument ? null : parseNumber(text);
}
