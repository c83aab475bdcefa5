/**
 * Actors of the supervisor tree. An actor takes one message at a time, so its
 * state needs no locks; a crash in one is counted and leaves its siblings alone.
 */
import nact from 'nact';
import type {Ref} from 'nact';
import type {Clock} from './clock.js';

/** Reference to an actor that takes `Message`. */
export type ActorRef<Message> = Ref<Message>;

/** One handler for each message type; new state is returned, not written. */
export type HandlerTable<State, Message extends {type: string}> = {
  [Type in Message['type']]: (
    state: State,
    message: Extract<Message, {type: Type}>,
  ) => State | Promise<State>;
};

/** Told of each crash before the actor goes on with its last good state. */
export type CrashListener = (actorName: string, error: Error) => void;

/** The root of a supervisor tree. */
export interface ActorSystem {
  root: ActorRef<never>;
  onCrash: CrashListener;
  /** Stops every actor of the tree. */
  stop(): void;
}

/** Starts a tree. `name` appears in actor paths. */
export function startActorSystem(
  name: string,
  onCrash: CrashListener,
): ActorSystem {
  // The library's types leave out the system's name, which its code takes.
  const root = nact.start({name} as never) as ActorRef<never>;
  return {root, onCrash, stop: () => nact.stop(root)};
}

/** Spawns an actor whose behaviour is a table of handlers. */
export function spawnActor<State, Message extends {type: string}>(
  system: ActorSystem,
  name: string,
  initialState: State,
  handlers: HandlerTable<State, Message>,
): ActorRef<Message> {
  const table = handlers as unknown as Record<
    string,
    (state: State, message: Message) => State | Promise<State>
  >;
  return nact.spawn(
    system.root,
    (state: State, message: Message) => table[message.type](state, message),
    name,
    {
      initialState,
      onCrash: (_message, error, context) => {
        system.onCrash(name, error ?? new Error('unknown crash'));
        return context.resume;
      },
    },
  ) as ActorRef<Message>;
}

/** Sends a message to an actor. */
export function sendMessage<Message>(
  actor: ActorRef<Message>,
  message: Message,
): void {
  nact.dispatch(actor, message);
}

type TickMessage = {type: 'tick'};

/** A task that runs again and again until stopped. */
export interface PeriodicTask {
  /** Runs it now; the period counts anew from its end. */
  wake(): void;
  stop(): void;
}

/**
 * Spawns an actor that runs `task`, waits `everyMs` after it ended, and runs
 * it again. A task slower than its period is never run twice at once.
 */
export function spawnPeriodicTask(
  system: ActorSystem,
  clock: Clock,
  name: string,
  everyMs: number,
  task: () => void | Promise<void>,
): PeriodicTask {
  let stopped = false;
  let cancelTimer = () => {};

  function scheduleNext() {
    if (stopped) return;
    cancelTimer();
    cancelTimer = clock.schedule(everyMs, wake);
  }

  async function runTask(): Promise<null> {
    if (stopped) return null;
    try {
      await task();
    } finally {
      scheduleNext();
    }
    return null;
  }

  const actor = spawnActor<null, TickMessage>(system, name, null, {
    tick: runTask,
  });

  function wake() {
    cancelTimer();
    if (!stopped) sendMessage(actor, {type: 'tick'});
  }

  wake();
  return {
    wake,
    stop() {
      stopped = true;
      cancelTimer();
    },
  };
}
