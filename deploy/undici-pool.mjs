/** The part of undici that the sidecar uses; the whole library doubles the time of a start. */
import api from 'undici/lib/api/index.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

Object.assign(Dispatcher.prototype, api);

export { Pool };
