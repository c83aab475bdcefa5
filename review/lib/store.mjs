/**
 * A stand-in for the platform's store, as PROTOCOL.md describes it: rows with
 * transactions, feeds of changes, and objects. It refuses what the page rules out:
 * more than 100 entries or 1 MB in a call, several parts, and values above `rowBytes`.
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';
import {createServer} from 'node:http';

const BASE = '/mulberryrouter/';
const MAX_ENTRIES = 100;
const MAX_CALL_BYTES = 1024 * 1024;
const MAX_ROWS = 500;

/** The table, part and key of a row. */
function buildName({Table, part = '', Key}) {
  return JSON.stringify([Table, part, Key]);
}

async function readAll(request) {
  const parts = [];
  for await (const part of request) parts.push(part);
  return Buffer.concat(parts);
}

/** Starts an empty store on a free loopback port. */
export async function startStore({rowBytes = 65536, delayMs = 4} = {}) {
  const rows = new Map();
  const objects = new Map();
  const refusals = [];
  const transactions = [];
  const history = [];
  const faults = {isDown: false};
  let version = 0;
  let waiters = [];

  function sendJson(response, status, body) {
    const NowMs = Math.round(performance.now());
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify({...body, Ver: version, NowMs}));
  }

  function putRow(row) {
    if (row.Removed) rows.delete(buildName(row));
    else rows.set(buildName(row), row);
    history.push(row);
  }

  function wakeFeeds() {
    const woken = waiters;
    waiters = [];
    for (const wake of woken) wake();
  }

  function commit({SetKeys = [], Remove = []}) {
    version++;
    for (const {Table, part = '', Key, Value} of SetKeys)
      putRow({Table, part, Key, Value, Ver: version});
    for (const {Table, part = '', Key} of Remove)
      putRow({Table, part, Key, Ver: version, Removed: true});
    wakeFeeds();
  }

  function refuse(response, status, reason) {
    refusals.push({at: Math.round(performance.now()), status, reason});
    sendJson(response, status, {Error: reason});
  }

  /** The size of a value: that of its bytes, which is the smaller reading of the page. */
  function measureValue(value) {
    return Buffer.from(value, 'base64').length;
  }

  async function runTransaction(request, response) {
    const body = await readAll(request);
    const transaction = JSON.parse(body.toString());
    const {ExpectRev = [], SetKeys = [], Remove = []} = transaction;
    const entries = [...ExpectRev, ...SetKeys, ...Remove];
    const parts = new Set(entries.map(({part = ''}) => part));
    const largest = Math.max(
      0,
      ...SetKeys.map(({Value}) => measureValue(Value)),
    );
    if (entries.length > MAX_ENTRIES)
      return refuse(response, 400, 'too many entries');
    if (body.length > MAX_CALL_BYTES)
      return refuse(response, 413, 'more than 1 MB in a call');
    if (parts.size > 1) return refuse(response, 400, 'several parts');
    if (largest > rowBytes)
      return refuse(
        response,
        413,
        `a value of ${largest} bytes is above RowBytes (${rowBytes})`,
      );
    const isMet = ExpectRev.every(
      row => (rows.get(buildName(row))?.Ver ?? 0) === row.Ver,
    );
    if (!isMet) {
      const current = ExpectRev.map(row => rows.get(buildName(row)));
      return sendJson(response, 412, {Rows: current.filter(Boolean)});
    }
    commit(transaction);
    transactions.push({
      at: Math.round(performance.now()),
      keys: SetKeys.map(({Table, Key}) => `${Table}/${Key}`),
    });
    return sendJson(response, 200, {});
  }

  function listRows(response, query) {
    const from = query.get('From') ?? '';
    const to = query.get('To');
    const found = [...rows.values()]
      .filter(
        ({Table, part, Key}) =>
          Table === query.get('Table') &&
          part === (query.get('part') ?? '') &&
          Key >= from &&
          (to === null || Key < to),
      )
      .sort((a, b) => Buffer.compare(Buffer.from(a.Key), Buffer.from(b.Key)));
    const limit = Math.min(MAX_ROWS, Number(query.get('Limit') ?? MAX_ROWS));
    sendJson(response, 200, {
      Rows: found.slice(0, limit),
      HasMore: found.length > limit,
    });
  }

  function listParts(response, query) {
    const held = [...rows.values()].filter(
      ({Table}) => Table === query.get('Table'),
    );
    const after = query.get('After') ?? '';
    const parts = [...new Set(held.map(({part}) => part))].sort();
    sendJson(response, 200, {parts: parts.filter(part => part > after)});
  }

  function awaitChanges(response, query) {
    const after = Number(query.get('After'));
    const table = query.get('Table');
    let hasEnded = false;
    const findChanges = () =>
      history.filter(row => row.Table === table && row.Ver > after);
    const finish = () => {
      if (hasEnded || response.destroyed) return;
      hasEnded = true;
      clearTimeout(timer);
      sendJson(response, 200, {Rows: findChanges()});
    };
    const wake = () => {
      if (findChanges().length > 0) finish();
      else waiters.push(wake);
    };
    const timer = setTimeout(finish, Number(query.get('WaitMs') ?? 0));
    wake();
  }

  const handlers = {
    'POST rows-tx': runTransaction,
    'GET rows-get': (_request, response, query) => listRows(response, query),
    'GET rows-parts': (_request, response, query) => listParts(response, query),
    'GET rows-feed': (_request, response, query) =>
      awaitChanges(response, query),
    async 'PUT blob-put'(request, response, _query, name) {
      objects.set(name, await readAll(request));
      sendJson(response, 200, {});
    },
    'GET blob-get'(_request, response, _query, name) {
      const object = objects.get(name);
      response.writeHead(object ? 200 : 404);
      response.end(object);
    },
    'DELETE blob-drop'(_request, response, _query, name) {
      objects.delete(name);
      sendJson(response, 200, {});
    },
    'GET blob-list'(_request, response, query) {
      const names = [...objects.keys()]
        .filter(name => name.startsWith(query.get('Prefix') ?? ''))
        .filter(name => name > (query.get('After') ?? ''))
        .sort();
      sendJson(response, 200, {names, HasMore: false});
    },
  };

  const server = createServer((request, response) => {
    const url = new URL(request.url, 'http://store');
    const [call, name = ''] = url.pathname.slice(BASE.length).split('/');
    const handle = handlers[`${request.method} ${call}`];
    setTimeout(() => {
      if (faults.isDown) sendJson(response, 503, {Error: 'busy'});
      else if (!handle) sendJson(response, 404, {});
      else
        void handle(
          request,
          response,
          url.searchParams,
          decodeURIComponent(name),
        );
    }, delayMs);
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));

  return {
    address: `127.0.0.1:${server.address().port}`,
    refusals,
    transactions,
    /** While `isDown`, each call is answered 503 and nothing is done. */
    faults,
    /** Writes a row as the operator or a server does. */
    writeRow(table, key, value) {
      const Value = Buffer.from(JSON.stringify(value)).toString('base64');
      commit({SetKeys: [{Table: table, part: '', Key: key, Value}]});
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
