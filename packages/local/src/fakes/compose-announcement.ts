/** Composes the announcements of in-memory workers. */
import type { TargetAnnouncement } from '@cranberryturn/types';

/** The service that all in-memory workers provide. */
export const service = 'register-svc';

/** Composes the announcement of one incarnation of a worker. */
export function composeAnnouncement(
  targetId: string,
  incarnation: string,
  slots: number,
): TargetAnnouncement {
  return {
    targetId,
    incarnation,
    service,
    host: `host-${targetId}`,
    rack: 'rack-1',
    dataCentre: 'dong-da',
    resources: { processors: 64, memoryMebibytes: 131_072, accelerators: 0 },
    slots,
    connections: 64,
  };
}
