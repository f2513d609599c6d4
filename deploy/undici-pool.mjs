/** The part of undici that the sidecar uses. Loading the whole library doubles the start time. */
import api from 'undici/lib/api/index.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

Object.assign(Dispatcher.prototype, api);

export { Pool };
