#!/usr/bin/env node
/** The binary `cranberryctl`. */
import { createNodeProgramHost } from '@cranberryturn/program';

import { runCranberryctl } from '../run-cranberryctl.js';

await runCranberryctl(createNodeProgramHost());
