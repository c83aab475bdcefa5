/**
 * Reads the content of an upload: a multipart form, as the OpenAI libraries
 * send it, or the plain lines.
 */
import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';
import busboy from 'busboy';
import {RouterError} from '../../common/errors.js';

const MAX_FORM_FIELDS = 16;
const MAX_FIELD_BYTES = 1024;
const MULTIPART = /^multipart\/form-data/i;
const BATCH_PURPOSE = 'batch';
const UNNAMED_FILE = 'bundle.jsonl';

/** An upload whose content is read as it arrives. */
export interface UploadBody {
  filename: string;
  content: AsyncIterable<Buffer>;
}

/** Resolves when the content starts; throws RouterError for an invalid form. */
export async function openUpload(
  request: IncomingMessage,
): Promise<UploadBody> {
  const type = request.headers['content-type'] ?? '';
  if (MULTIPART.test(type)) return openForm(request);
  return {filename: UNNAMED_FILE, content: request};
}

function openForm(request: IncomingMessage): Promise<UploadBody> {
  return new Promise((resolve, reject) => {
    const form = createFormParser(request);
    const fields = new Map<string, string>();
    form.on('field', (name, value) => fields.set(name, value));
    form.on('file', (_name, file, {filename}) => {
      const content = readFormFile(file, fields, form);
      resolve({filename: filename ?? UNNAMED_FILE, content});
    });
    form.on('close', () =>
      reject(buildFormError('file', 'the form has no file')),
    );
    form.on('error', error =>
      reject(buildFormError('file', (error as Error).message)),
    );
    request.on('close', () => {
      if (!request.complete) form.destroy(buildFormError('file', 'cut off'));
    });
    request.pipe(form);
  });
}

function createFormParser(request: IncomingMessage): busboy.Busboy {
  try {
    return busboy({
      headers: request.headers,
      limits: {
        files: 1,
        fields: MAX_FORM_FIELDS,
        fieldSize: MAX_FIELD_BYTES,
        fileSize: Infinity,
      },
    });
  } catch (error) {
    throw buildFormError('content-type', (error as Error).message);
  }
}

/** Streams the file. Its purpose may follow it, so it is checked at the end. */
async function* readFormFile(
  file: Readable,
  fields: ReadonlyMap<string, string>,
  form: busboy.Busboy,
): AsyncGenerator<Buffer> {
  const closed = new Promise<void>((resolve, reject) => {
    form.on('close', resolve);
    form.on('error', error =>
      reject(buildFormError('file', (error as Error).message)),
    );
  });
  closed.catch(() => {});
  try {
    for await (const chunk of file) yield chunk as Buffer;
  } catch (error) {
    throw buildFormError('file', (error as Error).message);
  }
  await closed;
  const purpose = fields.get('purpose');
  if (purpose !== undefined && purpose !== BATCH_PURPOSE) {
    throw buildFormError('purpose', `must be '${BATCH_PURPOSE}'`);
  }
}

function buildFormError(field: string, message: string): RouterError {
  return new RouterError('invalid_request', `${field}: ${message}`, {
    verdict: 'not-run',
    field,
  });
}
