/** Which workers count as capacity of a service. */
import type { WorkerLoad } from '@cranberryturn/types';
import test from 'ava';

import {
  createKnownWorker,
  type KnownWorker,
  setEvacuated,
  updateHeldBackProcessors,
  updateLoad,
} from '../known-worker.js';
import { defaultScarcitySettings } from './scarcity-settings.js';
import { computeUrgentShare, summarizeService } from './service-state.js';

const processors = 20;
const capacity = { processors, memoryMebibytes: 1_000, accelerators: 0 };
const load: WorkerLoad = {
  free: capacity,
  waitingWork: [0, 0, 0, 0],
  startedWork: [5, 0, 0, 0],
  runningWork: 0,
  closed: false,
};

function createWorker(name: string): KnownWorker {
  const worker = {
    workerId: name,
    incarnation: name,
    service: 'register',
    capacity,
    labels: [],
    dataCentre: 'dong-da',
  };
  return createKnownWorker(worker, load, 0);
}

function summarize(workers: readonly KnownWorker[], now = 0) {
  const { maximumReportAgeMilliseconds } = defaultScarcitySettings;
  return summarizeService(workers, maximumReportAgeMilliseconds, now);
}

test('a worker in an evacuated data centre is no capacity, whether this dispatcher or the worker knows of it', t => {
  const [open, marked, reporting] = [
    createWorker('open'),
    createWorker('marked'),
    createWorker('reporting'),
  ];
  setEvacuated(marked, true, 0);
  updateLoad(reporting, { ...load, evacuated: true }, 0, 0);
  const state = summarize([open, marked, reporting]);
  t.is(state.processors, processors);
  t.is(state.workers, 1);
  t.is(state.leftOut, 2);
  t.deepEqual(state.startedWork, [5, 0, 0, 0]);
});

test('a worker that returns from an evacuation counts without the processors held back', t => {
  const known = createWorker('returning');
  setEvacuated(known, true, 0);
  setEvacuated(known, false, 0);
  const returned = summarize([known]);
  t.is(returned.processors, processors / 4);
  // Five processors of urgent work fill what is in use, up to the bound of the share.
  t.is(computeUrgentShare(returned, 2), 0.9);
  updateHeldBackProcessors(known, 3_000);
  updateLoad(known, load, 0, 3_000);
  const complete = summarize([known], 3_000);
  t.is(complete.processors, processors);
  t.is(computeUrgentShare(complete, 2), 0.25);
});

test('a report whose started work is null, which the message check lets pass, counts as one without it', t => {
  const known = createWorker('null');
  const { startedWork } = JSON.parse('{"startedWork":null}') as WorkerLoad;
  updateLoad(known, { ...load, startedWork }, 0, 0);
  t.deepEqual(summarize([known]).startedWork, [0, 0, 0, 0]);
});
