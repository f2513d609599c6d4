#!/usr/bin/env node
/** Entry point of `cranberry-dispatcher`. */
import { runRoleProgram } from '@cranberryturn/program';
import { dispatcherSettingsSchema } from '@cranberryturn/settings';

import { startDispatcherRole } from '../start-dispatcher-role.js';

await runRoleProgram({
  name: 'cranberry-dispatcher',
  role: 'dispatcher',
  description: 'Answers callers over HTTP and places their tasks.',
  schema: dispatcherSettingsSchema,
  processName: settings => settings.dispatcherId,
  start: startDispatcherRole,
});
