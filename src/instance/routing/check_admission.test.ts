/** Requests that wait while a new version of the routing document comes into force. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkAdmission} from './check_admission.js';
import {createRoutingTable} from './routing_table.js';
import type {
  Route,
  RoutingAccount,
  RoutingDocument,
} from './routing_document.js';

const ROUTE: Route = {
  name: 'ask',
  host: 'desk.example',
  pathPrefix: '/ask/',
  form: 'stream',
  repeat: 'resumable',
  targets: [{service: 'reader', weight: 1}],
  maxAttempts: 2,
  timeoutMs: 5000,
  targetMs: 300,
  eventPatienceMs: 2000,
  rank: 0,
  isPublic: false,
  dueMs: 0,
  maxWaitingTokens: 0,
  itemLifetimeMs: 0,
};

const ACCOUNT: RoutingAccount = {
  name: 'gate',
  keyHashes: ['first', 'second'],
  ratePerS: 0,
  burst: 0,
};

function check(
  routes: Route[],
  accounts: RoutingAccount[] = [ACCOUNT],
  admitted: {route: Route; account?: RoutingAccount} = {
    route: ROUTE,
    account: ACCOUNT,
  },
) {
  const routing = createRoutingTable();
  const document: RoutingDocument = {
    version: 2,
    routes,
    services: [],
    accounts,
    callerBounds: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
  routing.apply(document);
  const {route, account} = admitted;
  return checkAdmission(routing, {
    host: ROUTE.host,
    path: '/ask/a/1',
    route,
    account,
  });
}

describe('a request that waits', () => {
  // Guards against the refusal of a request that both versions allow.
  const changes: [string, Partial<Route>][] = [
    ['has another name', {name: 'ask-2'}],
    ['leads to another service', {targets: [{service: 'writer', weight: 1}]}],
    ['has another timeout', {timeoutMs: 100}],
    ['begins its paths differently', {name: 'ask-a', pathPrefix: '/ask/a/'}],
  ];
  for (const [name, changed] of changes) {
    it(`is held to its route where that ${name}`, () => {
      const route = {...ROUTE, ...changed};
      assert.deepEqual(check([route]), {kind: 'allowed', route});
    });
  }

  it('is refused if no route has its path', () => {
    assert.equal(check([]).kind, 'route-removed');
    const other = {...ROUTE, pathPrefix: '/look/'};
    assert.equal(check([other]).kind, 'route-removed');
  });

  // Guards against a second run on a route that allows one.
  for (const changed of [
    {repeat: 'once'},
    {form: 'bundle'},
    {isPublic: true},
  ] as const) {
    it(`has to be sent again if its route has ${JSON.stringify(changed)}`, () => {
      assert.equal(check([{...ROUTE, ...changed}]).kind, 'route-changed');
    });
  }

  it('is refused if its account has none of its keys', () => {
    assert.equal(check([ROUTE], []).kind, 'key-withdrawn');
    const renewed = {...ACCOUNT, keyHashes: ['third']};
    assert.equal(check([ROUTE], [renewed]).kind, 'key-withdrawn');
  });

  it('is allowed without an account on a public route', () => {
    const route = {...ROUTE, isPublic: true};
    assert.equal(check([route], [], {route}).kind, 'allowed');
  });
});
