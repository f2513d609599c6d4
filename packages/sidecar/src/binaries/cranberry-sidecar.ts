#!/usr/bin/env node
/** Entry point of the program `cranberry-sidecar`. */
import { runRoleProgram } from '@cranberryturn/program';
import { sidecarSettingsSchema } from '@cranberryturn/settings';

import { startSidecarRole } from '../start-sidecar-role.js';

await runRoleProgram({
  name: 'cranberry-sidecar',
  role: 'sidecar',
  description: 'Announces the target beside it and starts its tasks.',
  schema: sidecarSettingsSchema,
  processName: settings => settings.targetId,
  start: startSidecarRole,
});
