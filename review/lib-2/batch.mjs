/** Configuration with one batch route, and the calls of its clients. */
import {Buffer} from 'node:buffer';
import {call} from './fleet.mjs';

const KEY = 'planner-key';

/** Bounds of the small sites in the pages. */
const ROUTE = {
  Name: 'lots',
  Host: 'desk.example',
  Prefix: '/lots/',
  Kind: 'batch',
  Service: 'reader',
  Attempts: 3,
  TimeoutMs: 15_000,
  SloMs: 400,
  GapAimMs: 300,
  ResultDueMs: 18_000,
  ItemTtlS: 60,
};

export function buildConfiguration(version = 7) {
  return {
    Version: version,
    Routes: [ROUTE],
    Services: [{Name: 'reader', HealthPath: '/health', Engine: {Slots: 8}}],
    Tenants: [{Name: 'planner', ApiKeys: [KEY], RatePerS: 47, Burst: 47}],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
  };
}

/** Hands a batch job in once; resolves with the status of the answer. */
export async function submitBatch(gateway, id, itemIds) {
  const Items = itemIds.map(Id => ({
    Id,
    Path: `/lots/x/${Id}`,
    Headers: {Model: 'm', 'Token-Count': '350,171'},
    Body: Buffer.from(`body of ${Id}`).toString('base64'),
    Tokens: 521,
  }));
  const {status} = await call(gateway.callers, {
    method: 'POST',
    path: '/lots/b',
    headers: {
      authorization: `Bearer ${KEY}`,
      'request-id': id,
      'content-type': 'application/json',
      'deadline-ms': '4000',
    },
    body: JSON.stringify({Items}),
    timeoutMs: 4000,
  });
  return status;
}

/** Reads results from a position on; undefined unless the answer is a 200. */
export async function readResults(gateway, id, after = 0) {
  const answer = await call(gateway.callers, {
    path: `/mulberryrouter/lots/${id}?After=${after}`,
    headers: {authorization: `Bearer ${KEY}`},
    timeoutMs: 2500,
  });
  if (answer.status !== 200 || !answer.isWhole) return undefined;
  return JSON.parse(answer.body);
}
