#!/usr/bin/env node
/** The binary `cranberry-local`: every role in one process. */
import { createNodeProgramHost, runRoleProgram } from '@cranberryturn/program';
import { localSettingsSchema } from '@cranberryturn/settings';

import { startLocalRole } from '../start-local-role.js';

const host = createNodeProgramHost();
await runRoleProgram(
  {
    name: 'cranberry-local',
    role: 'local',
    description: 'Runs every role in one process, with stand-in targets.',
    schema: localSettingsSchema,
    processName: () => 'cranberry-local',
    start: (settings, environment) =>
      startLocalRole(settings, environment, host),
  },
  host,
);
