#!/usr/bin/env node
/** Entry point of the binary `cranberryctl`. */
import { createNodeProgramHost } from '@cranberryturn/program';

import { runCranberryctl } from '../run-cranberryctl.js';

await runCranberryctl(createNodeProgramHost());
