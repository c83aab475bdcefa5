/** `state`: prints the state dump of a running instance. */
import {Args, Command, Flags} from '@oclif/core';
import {request} from 'undici';

const TIMEOUT_MS = 5000;

/** Fetches the dump from the instance's operators address. */
export class StateCommand extends Command {
  static override summary = 'Show the state of a running instance';
  static override examples = [
    '<%= config.bin %> state 127.0.0.1:9090',
    '<%= config.bin %> state 127.0.0.1:9090 --part dispatch',
  ];
  static override enableJsonFlag = true;
  static override args = {
    address: Args.string({
      required: true,
      description: "the instance's operators address, as IP:PORT",
    }),
  };
  static override flags = {
    part: Flags.string({description: 'show this part only'}),
  };

  async run(): Promise<unknown> {
    const {args, flags} = await this.parse(StateCommand);
    const dump = await this.fetchDump(args.address);
    const parts = Object.keys(dump);
    if (flags.part && !parts.includes(flags.part)) {
      this.error(
        `there is no part '${flags.part}'; there is: ${parts.join(', ')}`,
        {
          exit: 2,
        },
      );
    }
    const shown = flags.part ? dump[flags.part] : dump;
    this.log(JSON.stringify(shown, null, 2));
    return shown;
  }

  private async fetchDump(address: string): Promise<Record<string, unknown>> {
    try {
      const answer = await request(`http://${address}/state`, {
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      return (await answer.body.json()) as Record<string, unknown>;
    } catch (error) {
      this.error(
        `no instance answers at ${address}: ${(error as Error).message}`,
        {
          exit: 1,
        },
      );
    }
  }
}
