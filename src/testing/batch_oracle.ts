/** Checks that hold for a finished job, whatever failed while it was running. */
import assert from 'node:assert/strict';
import {openOutput} from '../instance/batch/output_access.js';
import type {BatchFleet, FleetInstance} from './batch_fleet.js';

/** The fields of an output line that tests check. */
interface OutputLine {
  custom_id: string;
  response: {
    status_code: number;
    body: {choices: {message: {content: string}}[]};
  } | null;
  error: {code: string; verdict: string} | null;
}

/** Reads the complete output of a job through `instance`. */
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

/** Parses the lines of an output. */
export function parseOutput(text: string): OutputLine[] {
  return text
    .trimEnd()
    .split('\n')
    .map(line => JSON.parse(line) as OutputLine);
}

/**
 * Asserts that the job is completed and its output is complete: it has one line
 * for each item, in order, and each line holds the answer to its own item or an
 * error. Every running instance and every read return the same output, and the
 * counts of the job record match its lines.
 */
export async function assertCompleteOnce(
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
