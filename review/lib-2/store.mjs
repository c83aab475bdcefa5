/**
 * A stand-in for the platform's store: rows with transactions, feeds and objects, as
 * PROTOCOL.md describes them. Each gateway has a door of its own, where answers can be
 * delayed, lost or refused for this gateway only.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const BASE = '/mulberryrouter/';
const READ_MS = 4;
const TRANSACTION_MS = 5;
const OBJECT_MS = 25;
const LATE_MS = 2500;
const MAX_ROWS = 500;
const MAX_ENTRIES = 100;
const MAX_VALUE = 65_536;

export function pause(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

export async function readBody(message) {
  const parts = [];
  for await (const part of message) parts.push(part);
  return Buffer.concat(parts);
}

export function listenFree(server) {
  return new Promise((resolve, reject) => {
    server.on('error', reject);
    server.listen(0, '127.0.0.1', () =>
      resolve(`127.0.0.1:${server.address().port}`),
    );
  });
}

function buildName({Table, part, Key}) {
  return JSON.stringify([Table, part ?? '', Key]);
}

/** Creates a store without rows. */
export function createStore() {
  const rows = new Map();
  const objects = new Map();
  const history = [];
  const waiters = new Set();
  const servers = [];
  let version = 0;

  function putRow(row) {
    if (row.Removed) rows.delete(buildName(row));
    else rows.set(buildName(row), row);
    history.push(row);
  }

  function wakeFeeds() {
    for (const wake of [...waiters]) wake();
  }

  function commitChanges({SetKeys = [], Remove = []}) {
    version++;
    for (const {Table, part = '', Key, Value} of SetKeys)
      putRow({Table, part, Key, Value, Ver: version});
    for (const {Table, part = '', Key} of Remove)
      putRow({Table, part, Key, Removed: true, Ver: version});
    wakeFeeds();
  }

  function checkExpected(ExpectRev = []) {
    return ExpectRev.every(
      row => (rows.get(buildName(row))?.Ver ?? 0) === row.Ver,
    );
  }

  function sendJson(response, status, body) {
    if (response.destroyed) return;
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(
      JSON.stringify({...body, Ver: version, NowMs: performance.now()}),
    );
  }

  async function runTransaction({body}, response) {
    const transaction = JSON.parse(body.toString());
    const {ExpectRev = [], SetKeys = [], Remove = []} = transaction;
    const entries = [...ExpectRev, ...SetKeys, ...Remove];
    const parts = new Set(entries.map(({part = ''}) => part));
    const isTooLarge = SetKeys.some(({Value}) => Value.length > MAX_VALUE);
    if (entries.length > MAX_ENTRIES || parts.size > 1 || isTooLarge) {
      sendJson(response, 400, {});
      return;
    }
    await pause(TRANSACTION_MS);
    if (checkExpected(ExpectRev)) {
      commitChanges(transaction);
      sendJson(response, 200, {});
      return;
    }
    const current = ExpectRev.map(row => rows.get(buildName(row)));
    sendJson(response, 412, {Rows: current.filter(row => row)});
  }

  async function readRows(_request, response, query) {
    await pause(READ_MS);
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
    const Rows = found.slice(0, limit);
    sendJson(response, 200, {Rows, HasMore: found.length > limit});
  }

  async function readParts(_request, response, query) {
    await pause(READ_MS);
    const table = query.get('Table');
    const after = query.get('After') ?? '';
    const held = [...rows.values()].filter(({Table}) => Table === table);
    const parts = [...new Set(held.map(({part}) => part))].sort();
    sendJson(response, 200, {parts: parts.filter(part => part > after)});
  }

  async function followRows(_request, response, query) {
    const table = query.get('Table');
    const after = Number(query.get('After'));
    const endsAt = performance.now() + Number(query.get('WaitMs') ?? 0);
    await pause(READ_MS);
    for (;;) {
      const Rows = history.filter(
        row => row.Table === table && row.Ver > after,
      );
      const leftMs = endsAt - performance.now();
      if (Rows.length > 0 || leftMs <= 0) {
        sendJson(response, 200, {Rows});
        return;
      }
      if (response.destroyed) return;
      await new Promise(resolve => {
        const wake = () => {
          waiters.delete(wake);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(leftMs, 1000));
        waiters.add(wake);
      });
    }
  }

  async function putObject({headers, body}, response, _query, name) {
    await pause(OBJECT_MS);
    if (headers['if-none-match'] === '*' && objects.has(name)) {
      sendJson(response, 412, {});
      return;
    }
    objects.set(name, body);
    sendJson(response, 200, {});
  }

  async function getObject(_request, response, _query, name) {
    await pause(OBJECT_MS);
    const body = objects.get(name);
    response.writeHead(body ? 200 : 404);
    response.end(body);
  }

  async function dropObject(_request, response, _query, name) {
    await pause(OBJECT_MS);
    objects.delete(name);
    sendJson(response, 200, {});
  }

  async function listObjects(_request, response, query) {
    await pause(OBJECT_MS);
    const prefix = query.get('Prefix') ?? '';
    const after = query.get('After') ?? '';
    const names = [...objects.keys()]
      .filter(name => name.startsWith(prefix) && name > after)
      .sort();
    const HasMore = names.length > 1000;
    sendJson(response, 200, {names: names.slice(0, 1000), HasMore});
  }

  const handlers = {
    'POST rows-tx': runTransaction,
    'GET rows-get': readRows,
    'GET rows-parts': readParts,
    'GET rows-feed': followRows,
    'PUT blob-put': putObject,
    'GET blob-get': getObject,
    'DELETE blob-drop': dropObject,
    'GET blob-list': listObjects,
  };

  /**
   * Opens the address of one gateway. `decide` may return, for a call, `silent`, `busy`,
   * `lost` (done and not answered) or `late` (done some seconds later and not answered);
   * anything else is answered.
   */
  async function openDoor() {
    const door = {address: '', decide: () => undefined};
    const server = createServer(async (request, response) => {
      const url = new URL(request.url, 'http://store');
      const [call, name = ''] = url.pathname.slice(BASE.length).split('/');
      const handler = handlers[`${request.method} ${call}`];
      const trouble = door.decide(call, decodeURIComponent(name));
      const body = await readBody(request).catch(() => undefined);
      if (trouble === 'silent' || body === undefined) return;
      if (trouble === 'busy' || !handler) {
        sendJson(response, handler ? 503 : 404, {});
        return;
      }
      if (trouble === 'late') await pause(LATE_MS + Math.random() * LATE_MS);
      if (trouble) response.end = () => response.destroy();
      const object = decodeURIComponent(name);
      const input = {headers: request.headers, body};
      await handler(input, response, url.searchParams, object).catch(() =>
        response.destroy(),
      );
    });
    server.keepAliveTimeout = 60_000;
    servers.push(server);
    door.address = await listenFree(server);
    return door;
  }

  return {
    openDoor,
    /** Writes a row of the operator or of a server. */
    writeRow(Table, Key, value) {
      const Value = Buffer.from(JSON.stringify(value)).toString('base64');
      commitChanges({SetKeys: [{Table, Key, Value}]});
    },
    removeRow: (Table, Key) => commitChanges({Remove: [{Table, Key}]}),
    /** Lists the decoded rows of a table. */
    listRows: table =>
      [...rows.values()]
        .filter(({Table}) => Table === table)
        .map(({part, Key, Value, Ver}) => ({
          part,
          key: Key,
          version: Ver,
          value: JSON.parse(Buffer.from(Value, 'base64').toString()),
        })),
    listTables: () => [...new Set([...rows.values()].map(({Table}) => Table))],
    close() {
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}
