/**
 * Peers in memory, on virtual time: calls take time, can be lost, doubled, late
 * or cut for each pair, and go through the real procedures and their schemas.
 */
import type {Clock} from '../common/clock.js';
import type {PeerClient} from '../instance/peers/peer_client.js';
import type {PeerContext} from '../instance/peers/peer_procedures.js';
import type {PeerRouter} from '../instance/peers/peer_router.js';

/** What befalls one message on its way. */
export interface MessageFate {
  lost: boolean;
  /** Arrives this many times more, each after its own delay. */
  copies: number;
  delayMs: number;
}

/** Decides the fate of a message; called once for each copy's delay. */
export type FatePolicy = (from: string, to: string) => MessageFate;

/** The network between instances of one test. */
export interface FakePeerNetwork {
  /** Attaches an instance; `router` answers calls to `address`. */
  join(address: string, router: PeerRouter): void;
  /**
   * The same with bare procedures, for long runs. What arrives is handed to
   * `receive`, which may keep it while the instance is paused.
   */
  joinDirectly(
    address: string,
    procedures: ProcedureTable,
    receive: (deliver: () => void) => void,
  ): void;
  /** The instance is gone: calls to it stay without an answer. */
  remove(address: string): void;
  /** The client of the peer at `to`, as used by the instance at `from`. */
  createClient(from: PeerSender, to: string): PeerClient;
  /** Cuts or mends all messages between two addresses, both ways. */
  setCut(a: string, b: string, cut: boolean): void;
  setFate(policy: FatePolicy): void;
  /** Messages that were sent, and their size as JSON. */
  counts: {messages: number; bytes: number};
}

/** Who sends. */
export interface PeerSender extends PeerContext {
  address: string;
}

const DEFAULT_FATE: MessageFate = {lost: false, copies: 0, delayMs: 0.5};

/** Procedures by feature and name. */
export type ProcedureTable = Record<
  string,
  Record<string, (input: never) => unknown>
>;

interface Station {
  findProcedures(sender: PeerSender): ProcedureTable;
  receive(deliver: () => void): void;
}

/** Starts empty; every message takes half a millisecond. */
export function createFakePeerNetwork(
  clock: Clock,
  callTimeoutMs: number,
): FakePeerNetwork {
  const stations = new Map<string, Station>();
  const cuts = new Set<string>();
  const counts = {messages: 0, bytes: 0};
  let chooseFate: FatePolicy = () => DEFAULT_FATE;

  function sendMessage(
    from: string,
    to: string,
    payload: unknown,
    deliver: () => void,
  ) {
    counts.messages++;
    counts.bytes += JSON.stringify(payload ?? null).length;
    const first = chooseFate(from, to);
    if (first.lost) return;
    for (let copy = 0; copy <= first.copies; copy++) {
      const {delayMs} = copy === 0 ? first : chooseFate(from, to);
      clock.schedule(delayMs, () => {
        if (cuts.has(buildPairId(from, to))) return;
        stations.get(to)?.receive(deliver);
      });
    }
  }

  async function respondCall(
    sender: PeerSender,
    to: string,
    path: [string, string],
    input: unknown,
    settle: {resolve(value: unknown): void; reject(error: unknown): void},
  ) {
    const station = stations.get(to);
    if (!station) return;
    const procedures = station.findProcedures(sender);
    try {
      const copy = structuredClone(input) as never;
      const answer = await procedures[path[0]][path[1]](copy);
      if (stations.get(to) !== station) return;
      sendMessage(to, sender.address, answer, () => settle.resolve(answer));
    } catch (error) {
      sendMessage(to, sender.address, null, () => settle.reject(error));
    }
  }

  function sendCall(
    sender: PeerSender,
    to: string,
    path: [string, string],
    input: unknown,
  ): Promise<unknown> {
    return new Promise((resolve, reject) => {
      clock.schedule(callTimeoutMs, () => {
        const fail = () => reject(new Error('call timed out'));
        stations.get(sender.address)?.receive(fail);
      });
      sendMessage(sender.address, to, input, () => {
        void respondCall(sender, to, path, input, {resolve, reject});
      });
    });
  }

  return {
    counts,
    join(address, router) {
      stations.set(address, {
        findProcedures: sender =>
          router.createCaller(sender) as unknown as ProcedureTable,
        receive: deliver => deliver(),
      });
    },
    joinDirectly(address, procedures, receive) {
      stations.set(address, {findProcedures: () => procedures, receive});
    },
    remove: address => void stations.delete(address),
    setCut(a, b, cut) {
      for (const id of [buildPairId(a, b), buildPairId(b, a)]) {
        if (cut) cuts.add(id);
        else cuts.delete(id);
      }
    },
    setFate(policy) {
      chooseFate = policy;
    },
    createClient: (from, to) =>
      buildPathProxy(path => {
        const [feature, procedure] = path;
        return (input: unknown) =>
          sendCall(from, to, [feature, procedure], input);
      }) as unknown as PeerClient,
  };
}

function buildPairId(from: string, to: string): string {
  return `${from}>${to}`;
}

/** `client.feature.procedure.mutate(input)`, as a typed client is used. */
function buildPathProxy(
  makeCall: (path: [string, string]) => (input: unknown) => unknown,
): object {
  return new Proxy(
    {},
    {
      get: (_target, feature) =>
        new Proxy(
          {},
          {
            get(_inner, procedure) {
              const call = makeCall([String(feature), String(procedure)]);
              return {mutate: call, query: call};
            },
          },
        ),
    },
  );
}
