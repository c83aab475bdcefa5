/** What an instance uses of undici: its index loads fetch, WebSocket, caches and mocks too. */
'use strict';
const Agent = require('undici/lib/dispatcher/agent.js');
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const request = require('undici/lib/api/api-request.js');

Object.assign(Dispatcher.prototype, {request});

module.exports = {Agent};
