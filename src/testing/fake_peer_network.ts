/**
 * An in-memory network between peers, on virtual time. Messages take time, and
 * can be lost, duplicated or delayed; any pair of addresses can be disconnected.
 * Calls go through the real procedures and their schemas.
 */
import type {Clock} from '../common/clock.js';
import type {PeerClient} from '../instance/peers/peer_client.js';
import type {PeerContext} from '../instance/peers/peer_procedures.js';
import type {PeerRouter} from '../instance/peers/peer_router.js';

/** The delivery outcome of one message. */
export interface DeliveryOutcome {
  lost: boolean;
  /** Number of duplicates; each arrives after a delay of its own. */
  copies: number;
  delayMs: number;
}

/** Chooses the outcome of a message, and again the delay of each duplicate. */
export type DeliveryPolicy = (from: string, to: string) => DeliveryOutcome;

/** The network between the instances of one test. */
export interface FakePeerNetwork {
  /** Attaches an instance; `router` handles the calls to `address`. */
  join(address: string, router: PeerRouter): void;
  /**
   * Attaches an instance by its procedures, without a router, which is faster
   * in long runs. Each arriving message is passed to `receive`, which may delay
   * it while the instance is paused.
   */
  joinDirectly(
    address: string,
    procedures: ProcedureTable,
    receive: (deliver: () => void) => void,
  ): void;
  /** Detaches an instance; calls to it get no response. */
  remove(address: string): void;
  /** Creates the client that the instance at `from` uses to call `to`. */
  createClient(from: PeerSender, to: string): PeerClient;
  /** Blocks or restores messages between two addresses, in both directions. */
  setCut(a: string, b: string, cut: boolean): void;
  setDeliveryPolicy(policy: DeliveryPolicy): void;
  /** Number of messages sent, and their total size as JSON. */
  counts: {messages: number; bytes: number};
}

/** The instance that sends a call. */
export interface PeerSender extends PeerContext {
  address: string;
}

const DEFAULT_OUTCOME: DeliveryOutcome = {lost: false, copies: 0, delayMs: 0.5};

/** Procedures by feature and procedure name. */
export type ProcedureTable = Record<
  string,
  Record<string, (input: never) => unknown>
>;

interface AttachedInstance {
  findProcedures(sender: PeerSender): ProcedureTable;
  receive(deliver: () => void): void;
}

/** Creates a network without instances; every message takes 0.5 ms. */
export function createFakePeerNetwork(
  clock: Clock,
  callTimeoutMs: number,
): FakePeerNetwork {
  const attachedInstances = new Map<string, AttachedInstance>();
  const cuts = new Set<string>();
  const counts = {messages: 0, bytes: 0};
  let chooseOutcome: DeliveryPolicy = () => DEFAULT_OUTCOME;

  function sendMessage(
    from: string,
    to: string,
    payload: unknown,
    deliver: () => void,
  ) {
    counts.messages++;
    counts.bytes += JSON.stringify(payload ?? null).length;
    const first = chooseOutcome(from, to);
    if (first.lost) return;
    for (let copy = 0; copy <= first.copies; copy++) {
      const {delayMs} = copy === 0 ? first : chooseOutcome(from, to);
      clock.schedule(delayMs, () => {
        if (cuts.has(buildPairId(from, to))) return;
        attachedInstances.get(to)?.receive(deliver);
      });
    }
  }

  async function respondToCall(
    sender: PeerSender,
    to: string,
    path: [string, string],
    input: unknown,
    settle: {resolve(value: unknown): void; reject(error: unknown): void},
  ) {
    const recipient = attachedInstances.get(to);
    if (!recipient) return;
    const procedures = recipient.findProcedures(sender);
    try {
      const copy = structuredClone(input) as never;
      const answer = await procedures[path[0]][path[1]](copy);
      if (attachedInstances.get(to) !== recipient) return;
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
        attachedInstances.get(sender.address)?.receive(fail);
      });
      sendMessage(sender.address, to, input, () => {
        void respondToCall(sender, to, path, input, {resolve, reject});
      });
    });
  }

  return {
    counts,
    join(address, router) {
      attachedInstances.set(address, {
        findProcedures: sender =>
          router.createCaller(sender) as unknown as ProcedureTable,
        receive: deliver => deliver(),
      });
    },
    joinDirectly(address, procedures, receive) {
      attachedInstances.set(address, {
        findProcedures: () => procedures,
        receive,
      });
    },
    remove: address => void attachedInstances.delete(address),
    setCut(a, b, cut) {
      for (const id of [buildPairId(a, b), buildPairId(b, a)]) {
        if (cut) cuts.add(id);
        else cuts.delete(id);
      }
    },
    setDeliveryPolicy(policy) {
      chooseOutcome = policy;
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

/** Builds a client that is used as `client.feature.procedure.mutate(input)`. */
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
