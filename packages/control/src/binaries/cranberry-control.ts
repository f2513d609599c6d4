#!/usr/bin/env node
/** Entry point of the program `cranberry-control`. */
import { runRoleProgram, UnexpectedErrorPolicy } from '@cranberryturn/program';
import { controlSettingsSchema } from '@cranberryturn/settings';

import { startControlRole } from '../start-control-role.js';

await runRoleProgram({
  name: 'cranberry-control',
  role: 'control',
  description:
    'Keeps the configuration, the claims of jobs and the roster in a replicated log.',
  schema: controlSettingsSchema,
  processName: settings => settings.replicaId,
  unexpectedErrors: UnexpectedErrorPolicy.Exit,
  start: startControlRole,
});
