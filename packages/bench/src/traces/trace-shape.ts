/** The small deployment in which traces are recorded and replayed. */
import {
  type DeploymentShape,
  registerShape,
} from '../load/deployment-shape.js';

const maximumTasks = 4;

/** Number of dispatchers of a trace. */
export const traceDispatcherCount = 2;

/** The register deployment, reduced to four workers of four slots and jobs of at most four tasks. */
export const traceShape: DeploymentShape = {
  ...registerShape,
  name: 'trace',
  workers: 4,
  workersPerRack: 2,
  slotsPerWorker: 4,
  callerDelayMilliseconds: 0,
  requests: registerShape.requests.map(request => ({
    ...request,
    minimumTasks: Math.min(request.minimumTasks, maximumTasks),
    maximumTasks: Math.min(request.maximumTasks, maximumTasks),
    runTime: { ...request.runTime, longShare: 0 },
    answerBytes: 100,
  })),
};
