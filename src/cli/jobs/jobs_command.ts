/** What the `jobs` commands share: flags, client and the wait for an end. */
import {Command, Flags} from '@oclif/core';
import cliProgress from 'cli-progress';
import {
  ADDRESS_VARIABLE,
  createJobsClient,
  KEY_VARIABLE,
  readKey,
  type Job,
  type JobsClient,
} from './jobs_client.js';

const POLL_MS = 2000;

/** Flags of every `jobs` command. */
export const JOBS_FLAGS = {
  address: Flags.string({
    required: true,
    env: ADDRESS_VARIABLE,
    description: "an instance's callers address, as IP:PORT",
  }),
  'key-file': Flags.string({
    description: `file that holds the client account key; without it, the environment variable ${KEY_VARIABLE}`,
  }),
};

/** Base of the `jobs` commands. */
export abstract class JobsCommand extends Command {
  static override enableJsonFlag = true;

  protected createClient(flags: {
    address: string;
    'key-file'?: string;
  }): JobsClient {
    return createJobsClient(flags.address, readKey(flags['key-file']));
  }

  /** Shows progress on standard error until the job has ended. */
  protected async awaitEnd(client: JobsClient, job: Job): Promise<Job> {
    const bar = this.jsonEnabled() ? undefined : startBar(job);
    let current = job;
    while (current.status === 'in_progress') {
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
      current = await client.get(job.id);
      bar?.update(countDone(current));
    }
    bar?.stop();
    if (current.status !== 'completed') process.exitCode = 1;
    return current;
  }

  protected printJob(job: Job) {
    const {total, completed, failed} = job.request_counts;
    this.log(
      `${job.id}  ${job.status}  ${completed} completed, ${failed} failed of ${total}  due ${formatTime(job.expires_at)}`,
    );
  }
}

function startBar(job: Job): cliProgress.SingleBar {
  const bar = new cliProgress.SingleBar({
    format: '{bar} {percentage}% | {value}/{total} items | {eta_formatted}',
    stream: process.stderr,
    hideCursor: true,
  });
  bar.start(job.request_counts.total, countDone(job));
  return bar;
}

function countDone({request_counts: counts}: Job): number {
  return counts.completed + counts.failed;
}

function formatTime(seconds: number): string {
  return new Date(seconds * 1000).toISOString();
}
