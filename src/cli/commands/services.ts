/** `services list|show|history`: reads the service documents in the platform's table. */
import {Args, Command, Flags} from '@oclif/core';
import {
  findStoredDocument,
  listDocumentHistory,
  listStoredDocuments,
  type StoredDocument,
} from '../../instance/configuration/apply_document.js';
import {EXIT_CODES} from '../exit_codes.js';
import {OPERATOR_FLAGS, runOperatorSession} from '../operator_session.js';

const SERVICE_ARGS = {
  service: Args.string({required: true, description: 'name of the service'}),
};

function formatDocument(document: StoredDocument): string {
  const {service, version, author, appliedAt} = document;
  const time = new Date(appliedAt).toISOString();
  return `${service}\tversion ${version}\t${time}\t${author}`;
}

/** Lists the active documents. */
export class ServicesListCommand extends Command {
  static override summary = 'List the services and their versions';
  static override examples = [
    '<%= config.bin %> services list --settings entry.ini',
  ];
  static override enableJsonFlag = true;
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<StoredDocument[]> {
    const {flags} = await this.parse(ServicesListCommand);
    return runOperatorSession(this, flags.settings, async ({platform}) => {
      const documents = await listStoredDocuments(platform.table);
      documents.forEach(document => this.log(formatDocument(document)));
      return documents;
    });
  }
}

/** Prints one document. */
export class ServicesShowCommand extends Command {
  static override summary = "Print a service's document";
  static override examples = [
    '<%= config.bin %> services show drum-reader --settings entry.ini',
    '<%= config.bin %> services show drum-reader --settings entry.ini --version 3',
  ];
  static override enableJsonFlag = true;
  static override args = SERVICE_ARGS;
  static override flags = {
    ...OPERATOR_FLAGS,
    version: Flags.integer({
      min: 1,
      description: 'an earlier version; the one in force by default',
    }),
  };

  async run(): Promise<StoredDocument> {
    const {args, flags} = await this.parse(ServicesShowCommand);
    return runOperatorSession(this, flags.settings, async ({platform}) => {
      const {table} = platform;
      const {service} = args;
      const document = await findStoredDocument(table, service, flags.version);
      if (!document) {
        const version = flags.version ? ` of version ${flags.version}` : '';
        this.error(`there is no document '${service}'${version}`, {
          exit: EXIT_CODES.failure,
        });
      }
      this.logToStderr(formatDocument(document));
      this.log(document.text.trimEnd());
      return document;
    });
  }
}

/** Lists every version of a document. */
export class ServicesHistoryCommand extends Command {
  static override summary = "List the versions of a service's document";
  static override examples = [
    '<%= config.bin %> services history drum-reader --settings entry.ini',
  ];
  static override enableJsonFlag = true;
  static override args = SERVICE_ARGS;
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<StoredDocument[]> {
    const {args, flags} = await this.parse(ServicesHistoryCommand);
    return runOperatorSession(this, flags.settings, async ({platform}) => {
      const history = await listDocumentHistory(platform.table, args.service);
      history.forEach(document => this.log(formatDocument(document)));
      return history;
    });
  }
}
