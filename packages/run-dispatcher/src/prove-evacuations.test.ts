/** The proof of a dispatcher's evacuation state, in the order in which control sends its notices. */
import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import { followEvacuationProof } from './prove-evacuations.js';

function start() {
  const timers = createManualTimerService();
  const control = { isFresh: false, hasConfiguration: false };
  const proof = followEvacuationProof({
    timers,
    isFresh: () => control.isFresh,
    hasConfiguration: () => control.hasConfiguration,
  });
  return { timers, control, proof };
}

test('a dispatcher that has just started proves nothing before control has sent its state', async t => {
  const { timers, control, proof } = start();
  control.isFresh = true;
  await timers.advance(1_000);
  t.false(proof.isProved());
  control.hasConfiguration = true;
  proof.updateReceived();
  t.true(proof.isProved());
});

test('a proof that overtakes the missed changes after a cut-off does not count for the older state', async t => {
  const { timers, control, proof } = start();
  Object.assign(control, { isFresh: true, hasConfiguration: true });
  proof.updateReceived();
  control.isFresh = false;
  await timers.advance(500);
  t.false(proof.isProved());
  control.isFresh = true;
  t.false(proof.isProved());
  await timers.advance(20);
  proof.updateReceived();
  t.true(proof.isProved());
});

test('a dispatcher that has missed no change is proved soon after it watches another control host', async t => {
  const { timers, control, proof } = start();
  Object.assign(control, { isFresh: true, hasConfiguration: true });
  proof.updateReceived();
  proof.hostChanged();
  t.false(proof.isProved());
  await timers.advance(300);
  t.true(proof.isProved());
});
