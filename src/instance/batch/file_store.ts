/**
 * Stores uploaded bundles. A file's id is derived from its account and content,
 * so that a bundle that is uploaded twice is one file, and requests that
 * contain the file id can be compared.
 */
import {RouterError} from '../../common/errors.js';
import {generateId, hashText} from '../../common/ids.js';
import type {Platform} from '../../stores/platform.js';
import {
  createBundleCheck,
  type BundleTarget,
  type TargetFinder,
} from './bundle_check.js';
import {
  MAX_BUNDLE_BYTES,
  MAX_LINE_BYTES,
  MAX_TRANSACTION_ATTEMPTS,
} from './constants.js';
import {readLines} from './line_reader.js';
import {
  buildFileKey,
  buildItemsName,
  fileRecordSchema,
  parseRow,
  type FileRecord,
  type StoredRecord,
} from './records.js';
import {
  createSegmentCutter,
  deleteItems,
  type CutBundle,
  type SegmentCutter,
} from './segment_cutter.js';

/** A request to upload a bundle. */
export interface FileUpload {
  account: string;
  filename: string;
  content: AsyncIterable<Buffer>;
  findTarget: TargetFinder;
  /** Called once, when the service is known from the first item. */
  authorize: (target: BundleTarget) => Promise<void>;
}

/** Reads and changes files. All methods throw RouterError or StoreError. */
export interface FileStore {
  /** Validates and stores a bundle; resolves once it is stored. */
  upload(
    upload: FileUpload,
    wallNow: number,
  ): Promise<StoredRecord<FileRecord>>;
  find(account: string, fileId: string): Promise<StoredRecord<FileRecord>>;
  list(account: string): Promise<StoredRecord<FileRecord>[]>;
  delete(account: string, fileId: string): Promise<void>;
  /** Reads the items of a file, one per line. */
  readContent(file: FileRecord): AsyncGenerator<Buffer>;
}

/** Creates a store that uses the platform's table and object store. */
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
      const isValid = check.checkLine(line);
      const target = check.getTarget();
      if (target && !isAuthorized) await upload.authorize(target);
      isAuthorized ||= target !== undefined;
      if (check.isFull()) break;
      if (isValid && !check.hasFaults()) await cutter.addLine(line.text);
    }
    return check.finish();
  }

  /**
   * Writes a file's row, or returns that of an earlier upload of the same
   * items.
   */
  async function commitFile(
    record: FileRecord,
    fileId: string,
  ): Promise<StoredRecord<FileRecord>> {
    const key = buildFileKey(record.account, fileId);
    for (let attempt = 0; attempt < MAX_TRANSACTION_ATTEMPTS; attempt++) {
      const found = await findFile(record.account, fileId);
      if (found) return found;
      const outcome = await table.transact([
        {kind: 'put', key, fields: {...record}, condition: {kind: 'absent'}},
      ]);
      if (outcome.kind === 'committed') return {id: fileId, version: 1, record};
    }
    throw buildConflictError();
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
      if (outcome.kind === 'conflict') throw buildConflictError();
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

/**
 * Builds the error for a conflict with concurrent changes; nothing was changed.
 */
export function buildConflictError(): RouterError {
  return new RouterError('conflict', 'others changed it meanwhile; ask again', {
    verdict: 'not-run',
    retryAfterMs: 1000,
  });
}
