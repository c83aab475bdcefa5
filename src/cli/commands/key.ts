/** `key give|withdraw|list`: manages the keys of client accounts. */
import {Args, Command, Flags} from '@oclif/core';
import {nameSchema} from '../../common/units.js';
import type {InstanceReport} from '../../instance/configuration/await_generation.js';
import type {KeyChange} from '../../instance/configuration/changes.js';
import {
  giveKey,
  listKeys,
  withdrawKey,
  type GivenKey,
  type WithdrawnKey,
} from '../../instance/keys/key_admin.js';
import {EXIT_CODES} from '../exit_codes.js';
import {
  OPERATOR_FLAGS,
  reportInstances,
  runOperatorSession,
  WAIT_FLAGS,
} from '../operator_session.js';

/** Issues a key and prints it once. */
export class KeyGiveCommand extends Command {
  static override summary = 'Give a client account a key';
  static override description =
    'The key is printed once and kept nowhere. It works on every instance within seconds; --wait waits for that.';
  static override examples = [
    '<%= config.bin %> key give gate --settings entry.ini',
  ];
  static override enableJsonFlag = true;
  static override args = {
    account: Args.string({required: true, description: 'the client account'}),
  };
  static override flags = {
    ...OPERATOR_FLAGS,
    ...WAIT_FLAGS,
    wait: Flags.boolean({description: 'wait until it works everywhere'}),
  };

  async run(): Promise<GivenKey & {account: string}> {
    const {args, flags} = await this.parse(KeyGiveCommand);
    const {account} = args;
    if (!nameSchema.safeParse(account).success) {
      this.error(`'${account}' is not a valid account name`, {
        exit: EXIT_CODES.usage,
      });
    }
    return runOperatorSession(this, flags.settings, async session => {
      const given = await giveKey(session.platform.table, account);
      this.logToStderr(`${given.keyId} for ${account}; shown once:`);
      this.log(given.secret);
      if (!flags.wait) return {...given, account};
      reportInstances(this, await session.awaitInstances(given, flags.timeout));
      return {...given, account};
    });
  }
}

/** Revokes a key and names the instances that may still accept it. */
export class KeyWithdrawCommand extends Command {
  static override summary = 'Withdraw a key';
  static override description =
    'Waits until every live instance has confirmed, and names those that have not (exit code 4). An instance that can confirm with nobody refuses all keys by itself after 3 s. Withdrawing a key again is harmless.';
  static override examples = [
    '<%= config.bin %> key withdraw key-01jx5k --settings entry.ini',
  ];
  static override enableJsonFlag = true;
  static override args = {
    key: Args.string({required: true, description: 'id of the key'}),
  };
  static override flags = {...OPERATOR_FLAGS, ...WAIT_FLAGS};

  async run(): Promise<WithdrawnKey & {instances: InstanceReport[]}> {
    const {args, flags} = await this.parse(KeyWithdrawCommand);
    return runOperatorSession(this, flags.settings, async session => {
      const withdrawn = await withdrawKey(session.platform.table, args.key);
      if (!withdrawn) {
        this.error(`there is no key '${args.key}'; see key list`, {
          exit: EXIT_CODES.failure,
        });
      }
      const {keyId, account, already} = withdrawn;
      const when = already ? 'was withdrawn before' : 'withdrawn';
      this.log(`${keyId} of ${account}: ${when}`);
      const instances = await session.awaitInstances(withdrawn, flags.timeout);
      reportInstances(this, instances);
      return {...withdrawn, instances};
    });
  }
}

/** Lists keys by id; secrets are not stored. */
export class KeyListCommand extends Command {
  static override summary = 'List the keys of client accounts';
  static override examples = [
    '<%= config.bin %> key list --settings entry.ini --account gate',
  ];
  static override enableJsonFlag = true;
  static override flags = {
    ...OPERATOR_FLAGS,
    account: Flags.string({description: 'keys of this account only'}),
  };

  async run(): Promise<Omit<KeyChange, 'kind' | 'keyHash'>[]> {
    const {flags} = await this.parse(KeyListCommand);
    return runOperatorSession(this, flags.settings, async ({platform}) => {
      const keys = (await listKeys(platform.table))
        .filter(({account}) => account === (flags.account ?? account))
        .map(({keyId, account, state}) => ({keyId, account, state}));
      for (const {keyId, account, state} of keys) {
        this.log(`${account}\t${keyId}\t${state}`);
      }
      return keys;
    });
  }
}
