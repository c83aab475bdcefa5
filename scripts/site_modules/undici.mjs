/** What an instance uses of undici: its index loads fetch, WebSocket, caches and mocks too. */
import Agent from 'undici/lib/dispatcher/agent.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import request from 'undici/lib/api/api-request.js';

Object.assign(Dispatcher.prototype, {request});

export {Agent};
