import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findFraming, type Framing} from './response_framing.js';

interface FramingCase {
  method?: string;
  statusCode?: number;
  headers: Record<string, string>;
  framing: Framing;
}

const CASES: FramingCase[] = [
  {headers: {'content-length': '3'}, framing: 'length'},
  {headers: {'content-length': '0'}, framing: 'length'},
  {headers: {'transfer-encoding': 'chunked'}, framing: 'chunked'},
  {headers: {'transfer-encoding': 'gzip, Chunked'}, framing: 'chunked'},
  // Only a last coding of `chunked` marks the end.
  {headers: {'transfer-encoding': 'chunked, gzip'}, framing: 'connection'},
  {headers: {'transfer-encoding': 'identity'}, framing: 'connection'},
  {headers: {}, framing: 'connection'},
  {headers: {}, statusCode: 503, framing: 'connection'},
  {headers: {}, statusCode: 204, framing: 'empty'},
  {headers: {}, statusCode: 304, framing: 'empty'},
  {headers: {'content-length': '3'}, method: 'HEAD', framing: 'empty'},
];

describe('framing of a response', () => {
  for (const {method = 'GET', statusCode = 200, headers, framing} of CASES) {
    const name = `${method} ${statusCode} ${JSON.stringify(headers)}`;
    it(`is '${framing}': ${name}`, () => {
      assert.equal(findFraming({statusCode, headers}, method), framing);
    });
  }
});
