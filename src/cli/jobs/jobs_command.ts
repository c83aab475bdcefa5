/** Flags, client and progress display that the `jobs` commands share. */
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

const POLL_INTERVAL_MS = 2000;

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

/** Base class of the `jobs` commands. */
export abstract class JobsCommand extends Command {
  static override enableJsonFlag = true;

  protected createClient(flags: {
    address: string;
    'key-file'?: string;
  }): JobsClient {
    return createJobsClient(flags.address, readKey(flags['key-file']));
  }

  /**
   * Polls the job until it has ended and shows progress on standard error. Sets exit
   * code 1 if the job did not complete.
   */
  protected async awaitEnd(client: JobsClient, job: Job): Promise<Job> {
    const bar = this.jsonEnabled() ? undefined : startProgressBar(job);
    let current = job;
    while (current.status === 'in_progress') {
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
      current = await client.get(job.id);
      bar?.update(countFinished(current));
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

function startProgressBar(job: Job): cliProgress.SingleBar {
  const bar = new cliProgress.SingleBar({
    format: '{bar} {percentage}% | {value}/{total} items | {eta_formatted}',
    stream: process.stderr,
    hideCursor: true,
  });
  bar.start(job.request_counts.total, countFinished(job));
  return bar;
}

function countFinished({request_counts: counts}: Job): number {
  return counts.completed + counts.failed;
}

function formatTime(seconds: number): string {
  return new Date(seconds * 1000).toISOString();
}
