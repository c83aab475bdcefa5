/** What must hold of a job whatever happened while it was worked. */
import assert from 'node:assert/strict';
import {openOutput} from '../instance/batch/output_access.js';
import type {BatchFleet, FleetInstance} from './batch_fleet.js';

/** A line of an output, as far as tests look at it. */
interface OutputLine {
  custom_id: string;
  response: {
    status_code: number;
    body: {choices: {message: {content: string}}[]};
  } | null;
  error: {code: string; verdict: string} | null;
}

/** The whole output as `instance` gives it. */
export async function readOutput(
  {batch}: FleetInstance,
  jobId: string,
  account = 'gate',
): Promise<string> {
  const {content} = await openOutput(batch, account, jobId);
  const parts: Buffer[] = [];
  for await (const part of content) parts.push(part);
  return Buffer.concat(parts).toString('utf8');
}

/** The lines of an output. */
export function parseOutput(text: string): OutputLine[] {
  return text
    .trimEnd()
    .split('\n')
    .map(line => JSON.parse(line) as OutputLine);
}

/**
 * The job is completed; its output has one line for each item, in order, each
 * with the answer to its own item or an error; it is the same through every
 * instance and on each read; and the counts are those of its lines.
 */
export async function assertWholeOnce(
  fleet: BatchFleet,
  jobId: string,
  ids: readonly string[],
  account = 'gate',
): Promise<OutputLine[]> {
  const readers = fleet.instances.filter(({process}) => process.isRunning());
  const [reader] = readers;
  const {record} = await reader.batch.jobs.find(account, jobId);
  assert.equal(record.state, 'completed');
  const text = await readOutput(reader, jobId, account);
  for (const other of [...readers, reader]) {
    assert.equal(await readOutput(other, jobId, account), text);
  }
  const lines = parseOutput(text);
  assert.deepEqual(
    lines.map(({custom_id: id}) => id),
    ids,
  );
  for (const line of lines) assertOwnAnswer(line);
  const failed = lines.filter(({error}) => error !== null).length;
  assert.deepEqual(
    {completed: record.completed, failed: record.failed},
    {completed: ids.length - failed, failed},
  );
  assert.equal(record.outputBytes, Buffer.byteLength(text));
  return lines;
}

function assertOwnAnswer({custom_id: id, response, error}: OutputLine) {
  if (error) return;
  assert.equal(response?.body.choices[0].message.content, `re ${id}`);
}
