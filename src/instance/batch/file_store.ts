/**
 * Uploaded bundles. A file is named by its account and content, so that a
 * bundle sent twice is one file and whatever names it can be compared.
 */
import {RouterError} from '../../common/errors.js';
import {generateId, hashText} from '../../common/ids.js';
import type {Platform} from '../../stores/platform.js';
import {
  createBundleCheck,
  type BundleTarget,
  type TargetFinder,
} from './bundle_check.js';
import {MAX_BUNDLE_BYTES, MAX_LINE_BYTES, MAX_RACES} from './constants.js';
import {readLines} from './line_reader.js';
import {
  buildFileKey,
  buildItemsName,
  fileRecordSchema,
  parseRow,
  type FileRecord,
  type Held,
} from './records.js';
import {
  createSegmentCutter,
  deleteItems,
  type CutBundle,
  type SegmentCutter,
} from './segment_cutter.js';

/** What a caller sends. */
export interface FileUpload {
  account: string;
  filename: string;
  content: AsyncIterable<Buffer>;
  findTarget: TargetFinder;
  /** Called once, when the first item has told the service. */
  authorize: (target: BundleTarget) => Promise<void>;
}

/** The uploaded bundles. All methods throw RouterError or StoreError. */
export interface FileStore {
  /** Checks and stores a bundle; the file is there when this resolves. */
  upload(upload: FileUpload, wallNow: number): Promise<Held<FileRecord>>;
  find(account: string, fileId: string): Promise<Held<FileRecord>>;
  list(account: string): Promise<Held<FileRecord>[]>;
  delete(account: string, fileId: string): Promise<void>;
  /** The items of a file, one to a line. */
  readContent(file: FileRecord): AsyncGenerator<Buffer>;
}

/** Keeps files in the platform's table and object store. */
export function createFileStore(
  {table, objects}: Platform,
  segmentItems?: number,
): FileStore {
  async function findFile(account: string, fileId: string) {
    const row = await table.get(buildFileKey(account, fileId));
    return row && parseRow(row, fileRecordSchema);
  }

  async function getFile(account: string, fileId: string) {
    const file = await findFile(account, fileId);
    if (file) return file;
    throw new RouterError('not_found', `there is no file '${fileId}'`, {
      verdict: 'not-run',
      field: 'file_id',
    });
  }

  async function splitLines(upload: FileUpload, cutter: SegmentCutter) {
    const check = createBundleCheck(upload.findTarget);
    let isAuthorized = false;
    const lines = readLines(upload.content, MAX_LINE_BYTES, MAX_BUNDLE_BYTES);
    for await (const line of lines) {
      const isGood = check.checkLine(line);
      const target = check.getTarget();
      if (target && !isAuthorized) await upload.authorize(target);
      isAuthorized ||= target !== undefined;
      if (check.isFull()) break;
      if (isGood && !check.hasFaults()) await cutter.addLine(line.text);
    }
    return check.finish();
  }

  /** The row, or the one that an earlier upload of the same items left. */
  async function commitFile(
    record: FileRecord,
    fileId: string,
  ): Promise<Held<FileRecord>> {
    const key = buildFileKey(record.account, fileId);
    for (let race = 0; race < MAX_RACES; race++) {
      const found = await findFile(record.account, fileId);
      if (found) return found;
      const outcome = await table.transact([
        {kind: 'put', key, fields: {...record}, condition: {kind: 'absent'}},
      ]);
      if (outcome.kind === 'committed') return {id: fileId, version: 1, record};
    }
    throw refuseRace();
  }

  return {
    async upload(upload, wallNow) {
      const uploadId = generateId('upload');
      const cutter = createSegmentCutter(objects, uploadId, segmentItems);
      let target: BundleTarget;
      let cut: CutBundle;
      try {
        target = await splitLines(upload, cutter);
        cut = await cutter.finish();
      } catch (thrown) {
        await cutter.discard().catch(() => {});
        throw thrown;
      }
      const {contentHash, ...sizes} = cut;
      const file = await commitFile(
        {
          account: upload.account,
          service: target.service,
          endpoint: target.endpoint,
          filename: upload.filename,
          upload: uploadId,
          ...sizes,
          createdAt: wallNow,
          openJobs: 0,
        },
        `file-${hashText(`${upload.account}\n${contentHash}`)}`,
      );
      if (file.record.upload !== uploadId) {
        await cutter.discard().catch(() => {});
      }
      return file;
    },
    find: getFile,
    async list(account) {
      const rows = await table.query(`files#${account}`);
      return rows.map(row => parseRow(row, fileRecordSchema));
    },
    async delete(account, fileId) {
      const file = await getFile(account, fileId);
      if (file.record.openJobs > 0) {
        throw new RouterError('conflict', 'a job over this file is not done', {
          verdict: 'not-run',
          field: 'file_id',
        });
      }
      const outcome = await table.transact([
        {
          kind: 'delete',
          key: buildFileKey(account, fileId),
          condition: {kind: 'version', version: file.version},
        },
      ]);
      if (outcome.kind === 'conflict') throw refuseRace();
      await deleteItems(objects, file.record.upload, file.record.segments);
    },
    async *readContent({upload, segments}) {
      for (let index = 0; index < segments; index++) {
        const body = await objects.get(buildItemsName(upload, index));
        if (!body) throw new Error(`segment ${index} of ${upload} is missing`);
        yield body;
      }
    },
  };
}

/** The caller raced with others; nothing was changed. */
export function refuseRace(): RouterError {
  return new RouterError('conflict', 'others changed it meanwhile; ask again', {
    verdict: 'not-run',
    retryAfterMs: 1000,
  });
}
