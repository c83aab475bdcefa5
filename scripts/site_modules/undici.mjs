/**
 * Exports only the parts of undici that an instance uses. The package's index also loads
 * fetch, WebSocket, caches and mocks.
 */
import Agent from 'undici/lib/dispatcher/agent.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import request from 'undici/lib/api/api-request.js';

Object.assign(Dispatcher.prototype, {request});

export {Agent};
