/**
 * Actors of the supervisor tree. An actor handles one message at a time, so its
 * state needs no locks. A crash of one actor is reported and does not affect
 * its siblings.
 */
import nact from 'nact';
import type {Ref} from 'nact';
import type {Clock} from './clock.js';

/** Reference to an actor that accepts `Message`. */
export type ActorRef<Message> = Ref<Message>;

/** One handler for each message type; it returns the new state. */
export type HandlerTable<State, Message extends {type: string}> = {
  [Type in Message['type']]: (
    state: State,
    message: Extract<Message, {type: Type}>,
  ) => State | Promise<State>;
};

/** Called on each crash, before the actor resumes with its last valid state. */
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
  // The library accepts a name for the system, but its types do not declare it.
  const root = nact.start({name} as never) as ActorRef<never>;
  return {root, onCrash, stop: () => nact.stop(root)};
}

/** Spawns an actor that handles messages with a table of handlers. */
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

/** A task that runs periodically until it is stopped. */
export interface PeriodicTask {
  /** Runs the task now; the next period starts when it ends. */
  wake(): void;
  stop(): void;
}

/**
 * Spawns an actor that runs `task`, waits `everyMs` after it ended, and runs it
 * again. A task that is slower than its period never runs concurrently with
 * itself.
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
