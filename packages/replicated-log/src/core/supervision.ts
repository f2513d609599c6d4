/** Supervision of a leader: contact with a quorum, and its disk. */
import type { Leadership } from './leadership.js';
import type { Replica } from './replica.js';
import { transferLeadership } from './transfer.js';

/** Checks twice per heartbeat interval until the leadership ends. */
export async function superviseLeadership(
  replica: Replica,
  leadership: Leadership,
): Promise<void> {
  const interval = replica.tuning.heartbeatInterval / 2;
  let nextCheck = replica.now() + interval;
  while (leadership.isActive) {
    const remaining = nextCheck - replica.now();
    if (remaining > 0) {
      await leadership.ended.wait(remaining);
      continue;
    }
    nextCheck += interval;
    leadership.checkQuorum();
    transferIfDiskHangs(replica, leadership);
  }
}

/** A leader whose disk hangs cannot count itself towards commits, so another voter should lead. */
function transferIfDiskHangs(replica: Replica, leadership: Leadership): void {
  if (!leadership.isActive || leadership.isTransferring) return;
  if (replica.voters().length === 1) return;
  if (replica.store.currentWriteMilliseconds() <= replica.tuning.diskHangLimit)
    return;
  void transferLeadership(replica).then(result => {
    if (result.isErr() && leadership.isActive) replica.stepDown();
  });
}
