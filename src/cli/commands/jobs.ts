/** `jobs`: submit, list, show and cancel bundles, and read their outputs. */
import {createWriteStream} from 'node:fs';
import {rename} from 'node:fs/promises';
import {pipeline} from 'node:stream/promises';
import {Args, Flags} from '@oclif/core';
import type {Job} from '../jobs/jobs_client.js';
import {JOBS_FLAGS, JobsCommand} from '../jobs/jobs_command.js';

const JOB_ARGUMENT = {
  job: Args.string({required: true, description: 'id of the job'}),
};

/** Uploads a bundle and creates a job from it. */
export class JobsSubmitCommand extends JobsCommand {
  static override summary = 'Submit a bundle of batch items';
  static override description =
    'Sending the same bundle again finds the first job, so it is safe to repeat.';
  static override examples = [
    '<%= config.bin %> jobs submit manifests.jsonl --address 10.0.0.1:8080',
    '<%= config.bin %> jobs submit renewals.jsonl --window 12h --idempotency-key 2026-q1 --wait',
  ];
  static override args = {
    file: Args.string({
      required: true,
      description: 'the bundle, one JSON item to a line',
    }),
  };
  static override flags = {
    ...JOBS_FLAGS,
    window: Flags.string({
      default: '24h',
      description: 'time until the output is wanted, such as 90m or 24h',
    }),
    'idempotency-key': Flags.string({
      description: 'names the job; without it, its content does',
    }),
    wait: Flags.boolean({description: 'wait until the job has ended'}),
  };

  async run(): Promise<Job> {
    const {args, flags} = await this.parse(JobsSubmitCommand);
    const client = this.createClient(flags);
    const file = await client.upload(args.file);
    const created = await client.create(file.id, {
      window: flags.window,
      idempotencyKey: flags['idempotency-key'],
    });
    const job = flags.wait ? await this.awaitEnd(client, created) : created;
    this.printJob(job);
    return job;
  }
}

/** Lists the newest jobs of the account. */
export class JobsListCommand extends JobsCommand {
  static override summary = 'List the newest jobs of the account';
  static override examples = ['<%= config.bin %> jobs list --json'];
  static override flags = {...JOBS_FLAGS};

  async run(): Promise<Job[]> {
    const {flags} = await this.parse(JobsListCommand);
    const jobs = await this.createClient(flags).list();
    for (const job of jobs) this.printJob(job);
    return jobs;
  }
}

export class JobsShowCommand extends JobsCommand {
  static override summary = 'Show a job and how far it is';
  static override examples = ['<%= config.bin %> jobs show JOB --wait'];
  static override args = JOB_ARGUMENT;
  static override flags = {
    ...JOBS_FLAGS,
    wait: Flags.boolean({description: 'wait until the job has ended'}),
  };

  async run(): Promise<Job> {
    const {args, flags} = await this.parse(JobsShowCommand);
    const client = this.createClient(flags);
    const found = await client.get(args.job);
    const job = flags.wait ? await this.awaitEnd(client, found) : found;
    this.printJob(job);
    return job;
  }
}

export class JobsCancelCommand extends JobsCommand {
  static override summary = 'Cancel a job; what runs of it stops in seconds';
  static override examples = ['<%= config.bin %> jobs cancel JOB'];
  static override args = JOB_ARGUMENT;
  static override flags = {...JOBS_FLAGS};

  async run(): Promise<Job> {
    const {args, flags} = await this.parse(JobsCancelCommand);
    const job = await this.createClient(flags).cancel(args.job);
    this.printJob(job);
    return job;
  }
}

/** Writes the output of a completed job. */
export class JobsOutputCommand extends JobsCommand {
  static override summary = 'Write the output of a completed job';
  static override description =
    'The file appears under its name only when it is whole.';
  static override examples = [
    '<%= config.bin %> jobs output JOB > results.jsonl',
    '<%= config.bin %> jobs output JOB --to results.jsonl',
  ];
  static override args = JOB_ARGUMENT;
  static override flags = {
    ...JOBS_FLAGS,
    to: Flags.string({description: 'file to write; standard output without'}),
  };

  async run(): Promise<{job: string; to: string | null}> {
    const {args, flags} = await this.parse(JobsOutputCommand);
    const content = await this.createClient(flags).openOutput(args.job);
    if (flags.to === undefined) {
      for await (const part of content) process.stdout.write(part);
      return {job: args.job, to: null};
    }
    const partial = `${flags.to}.part`;
    await pipeline(content, createWriteStream(partial));
    await rename(partial, flags.to);
    this.log(`${args.job}: written to ${flags.to}`);
    return {job: args.job, to: flags.to};
  }
}
