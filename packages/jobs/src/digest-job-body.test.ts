import type { JobRequest } from '@cranberryturn/types';
import test from 'ava';

import { digestJobBody } from './digest-job-body.js';

const job: JobRequest = {
  jobId: 'wards/job-1',
  service: 'register-svc',
  team: 'wards',
  tasks: [
    { taskId: 'a', payload: '{"street":"Hàng Bạc"}' },
    { taskId: 'b', payload: 'null', declared: { processors: 2 } },
  ],
  idempotent: false,
  deadlineMilliseconds: 1_000,
};

test('the digest of a body is the same in all versions of the dispatcher', t => {
  t.is(digestJobBody(job), 'b88fb8ca28df8b60c77955caf6b7c0da');
  t.is(digestJobBody({ ...job, deadlineMilliseconds: 5 }), digestJobBody(job));
});

test('every part of a body except its deadline changes the digest', t => {
  const [first, second] = job.tasks;
  if (first === undefined || second === undefined) throw new Error('no tasks');
  const others: JobRequest[] = [
    { ...job, service: 'marcacoes' },
    { ...job, tasks: [second, first] },
    { ...job, tasks: [first, { ...second, payload: '0' }] },
    { ...job, tasks: [first, { ...second, taskId: 'c' }] },
    { ...job, tasks: [first, { ...second, declared: { processors: 3 } }] },
  ];
  const digests = new Set([job, ...others].map(digestJobBody));
  t.is(digests.size, others.length + 1);
});
