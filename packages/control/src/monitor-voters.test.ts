import { createSilentLogger } from '@cranberryturn/logger';
import { MemberRole } from '@cranberryturn/replicated-log';
import test from 'ava';

import { createVoterMonitor } from './monitor-voters.js';

test('fewer voters than the settings ask for are warned of, also where their number is even', t => {
  const logger = createSilentLogger();
  const warnings: object[] = [];
  logger.warn = (message, fields) => {
    warnings.push({ message, ...fields });
  };
  const monitor = createVoterMonitor({
    logger,
    group: {
      seeds: [],
      self: { address: '127.0.0.1', port: 1 },
      minimumVoters: 2,
      isObserver: false,
      toleratedDataCentres: 0,
    },
  });
  const voter = (replicaId: string) => ({
    replicaId,
    role: MemberRole.Voter,
    address: replicaId,
  });
  monitor.check([voter('c1')]);
  t.deepEqual(warnings, [
    {
      message:
        'control has fewer voters than the tolerated losses need; run it on more hosts with a disk',
      voters: 1,
      needed: 2,
    },
  ]);
  monitor.check([voter('c1'), voter('c2')]);
  t.is(warnings.length, 1);
});
