/** Renders a plan as text. */
import type { PlanView } from '@cranberryturn/configuration';

import type { CommandSession } from './command-session.js';

type Colors = CommandSession['colors'];

/** Renders effects, affected workers, capacity, warnings, and last the command that confirms the plan. */
export function renderPlan(view: PlanView, colors: Colors): string {
  const { effects, warnings, observation, planId, baseVersion } = view;
  const lines = [
    `${colors.bold(`Plan: ${view.intent.kind}`)}, on version ${String(baseVersion)}. Nothing has changed.`,
    ...effects.map(effect => `  ${colors.green('will')}  ${effect.sentence}`),
    ...renderObservation(observation, colors),
    ...warnings.map(
      warning => `  ${colors.yellow('warn')}  ${warning.sentence}`,
    ),
    '',
    'Confirm with:',
    `  cranberryctl confirm ${planId} --wait`,
  ];
  return `${lines.join('\n')}\n`;
}

function renderObservation(
  { stops, resumes, capacity }: PlanView['observation'],
  colors: Colors,
): readonly string[] {
  const label = colors.cyan('now ');
  return [
    ...renderTargets(`  ${label}  Announced workers that stop`, stops),
    ...renderTargets(`  ${label}  Announced workers that resume`, resumes),
    ...capacity.map(
      entry =>
        `  ${label}  ${entry.service}: ${String(entry.workersBefore)} workers with ${String(entry.slotsBefore)} slots before, ${String(entry.workersAfter)} with ${String(entry.slotsAfter)} after.`,
    ),
  ];
}

function renderTargets(
  title: string,
  targets: readonly string[],
): readonly string[] {
  return targets.length === 0 ? [] : [`${title}: ${targets.join(', ')}.`];
}
