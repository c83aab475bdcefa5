/**
 * Buffers responses for callers that read slowly, so that a slot is free as soon as
 * its endpoint is done. decisions/answer_memory.ts decides how much is buffered for
 * whom.
 */
import type {ServerResponse} from 'node:http';
import type {CancelSchedule, Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import {createAnswerMemory} from '../../decisions/answer_memory.js';
import {
  BODY_RETRY_AFTER_MS,
  LISTED_ACCOUNTS,
  MEMORY_CHECK_MS,
  PRESSURE_LOG_INTERVAL_MS,
  UNREAD_PIECE_BYTES,
} from './constants.js';
import {abortResponse} from '../callers/http_exchange.js';
import {createChunkWriter} from './chunk_writer.js';
import {createUnreadBytes} from './unread_bytes.js';

/** Where the body of a response is written. */
export interface AnswerOutput {
  /**
   * Returns whether more data is accepted immediately; if not, `resume` is called
   * when it is.
   */
  write(chunk: Buffer, resume: () => void): boolean;
  /** Ends the complete response, once the caller has read what is buffered. */
  end(): void;
}

/** The response to write to. */
export interface OutputTarget {
  response: ServerResponse;
  /** Account whose share of the memory is used. */
  account: string;
  /** Aborted when a response that is still buffered must be given up. */
  signal: AbortSignal;
  /** Called if the response must end because its caller reads too slowly. */
  onEnd: () => void;
}

/** A request body while it arrives. */
export interface ArrivingBody {
  /** Notes how much has arrived; throws RouterError if there is no memory for it. */
  noteArrived(bytes: number): void;
  close(): void;
}

/** The memory that the callers of an instance occupy. */
export interface HeldAnswers extends StateSource {
  openOutput(target: OutputTarget): AnswerOutput;
  openBody(account: string): ArrivingBody;
  /**
   * Counts a complete response that is written at once, until its caller has read it;
   * throws RouterError if there is no memory for it.
   */
  reserveResult(response: ServerResponse, account: string, bytes: number): void;
}

export interface HeldAnswersDependencies {
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Maximum bytes to buffer; 0 buffers nothing beyond back pressure. */
  budget: number;
}

/** A response or body that occupies memory. */
interface Holder {
  resume(): void;
  end(): void;
}

export function createHeldAnswers({
  clock,
  log,
  metrics,
  budget,
}: HeldAnswersDependencies): HeldAnswers {
  const memory = createAnswerMemory<Holder>(budget);
  let cancelCheck: CancelSchedule | undefined;
  let loggedAt = -Infinity;
  const heldBytes = metrics.createGauge(
    'gateway_held_answer_bytes',
    'Bytes buffered for callers that have not read them yet, and of bodies in arrival.',
  );
  const pausedCounter = metrics.createCounter(
    'gateway_held_answers_paused_total',
    'Times that a response was not read on because of its share of the memory for callers.',
  );
  const endedCounter = metrics.createCounter(
    'gateway_held_answers_ended_total',
    'Responses ended because their callers read too slowly for the memory.',
  );

  function endHolders(holders: readonly Holder[]) {
    for (const holder of holders) {
      endedCounter.inc();
      holder.end();
    }
  }

  /**
   * Writes at most one line per second in which responses are paused. The line of a
   * request says that its response was ended.
   */
  function logPressure(now: number) {
    const paused = memory.countPaused();
    if (paused === 0 || now - loggedAt < PRESSURE_LOG_INTERVAL_MS) return;
    loggedAt = now;
    const [largest] = memory.listAccounts();
    log.info(
      {paused, bytes: memory.countBytes(), budget, largest},
      'responses paused: memory for slowly reading callers is used up',
    );
  }

  function checkMemory() {
    const now = clock.now();
    const {ended, resumed} = memory.decide(now);
    endHolders(ended);
    for (const holder of resumed) holder.resume();
    logPressure(now);
    heldBytes.set(memory.countBytes());
    cancelCheck = undefined;
    if (memory.countBytes() > 0) scheduleCheck();
  }

  function scheduleCheck() {
    cancelCheck ??= clock.schedule(MEMORY_CHECK_MS, checkMemory);
  }

  /** Ends responses if the budget is exceeded with what the holder received. */
  function noteHeld(
    holder: Holder,
    {
      account,
      bytes,
      received,
    }: {account: string; bytes: number; received: number},
  ) {
    memory.update(holder, account, bytes, received);
    if (bytes === 0) return;
    endHolders(memory.endOverflow(holder));
    scheduleCheck();
  }

  function openBufferedOutput({
    response,
    account,
    signal,
    onEnd,
  }: OutputTarget): AnswerOutput {
    const unread = createUnreadBytes();
    const writer = createChunkWriter(response);
    let inFlight = 0;
    let received = 0;
    let isComplete = false;
    let isClosed = false;
    let resumeReading: (() => void) | undefined;
    const holder: Holder = {
      resume() {
        const resume = resumeReading;
        resumeReading = undefined;
        resume?.();
      },
      end() {
        close();
        onEnd();
      },
    };

    function countHeld(): number {
      return inFlight + unread.countBytes();
    }

    /**
     * Returns whether the piece was sent at once. At most one piece is in flight, so
     * that `unread` knows what is held.
     */
    function sendPiece(piece: Buffer): boolean {
      const isSent = writer.write(piece, handleSent);
      inFlight = isSent ? 0 : piece.length;
      return isSent;
    }

    /** Returns whether nothing is left to send. */
    function sendUnread(): boolean {
      for (;;) {
        const piece = unread.take(UNREAD_PIECE_BYTES);
        if (!piece) return true;
        if (!sendPiece(piece)) return false;
      }
    }

    function handleSent() {
      if (isClosed || response.destroyed) return;
      inFlight = 0;
      const isSent = sendUnread();
      if (isSent && isComplete && !response.writableEnded) response.end();
      noteHeld(holder, {account, bytes: countHeld(), received});
      if (memory.shouldResume(holder, clock.now())) holder.resume();
    }

    function close() {
      isClosed = true;
      unread.clear();
      memory.remove(holder);
    }

    response.once('close', close);
    return {
      write(chunk, resume) {
        if (chunk.length === 0 || isClosed) return true;
        received += chunk.length;
        const isIdle = countHeld() === 0;
        // A caller that reads at once occupies no memory, which need not be counted.
        if (isIdle && sendPiece(chunk)) return true;
        if (!isIdle) unread.push(chunk);
        noteHeld(holder, {account, bytes: countHeld(), received});
        // A caller that had read everything so far is likely to read this too.
        if (isIdle || !memory.shouldPause(holder, clock.now())) return true;
        pausedCounter.inc();
        resumeReading = resume;
        return false;
      },
      end() {
        isComplete = true;
        memory.markComplete(holder);
        if (unread.countBytes() === 0) response.end();
        else {
          const abort = () => abortResponse(response);
          signal.addEventListener('abort', abort, {once: true});
        }
      },
    };
  }

  function openBufferedBody(account: string): ArrivingBody {
    const holder: Holder = {resume() {}, end() {}};
    // Bodies have a share of their own, so that an account whose callers read slowly
    // can still send requests.
    const owner = `${account} (bodies)`;
    let held = 0;
    return {
      noteArrived(bytes) {
        if (!memory.hasRoom(owner, bytes - held)) throw buildNoRoomError();
        held = bytes;
        memory.update(holder, owner, bytes, bytes);
        memory.markComplete(holder);
        scheduleCheck();
      },
      close: () => memory.remove(holder),
    };
  }

  function reserveResult(
    response: ServerResponse,
    account: string,
    bytes: number,
  ) {
    const holder: Holder = {resume() {}, end() {}};
    const owner = `${account} (results)`;
    if (!memory.hasRoom(owner, bytes)) throw buildNoRoomError();
    memory.update(holder, owner, bytes, bytes);
    memory.markComplete(holder);
    scheduleCheck();
    response.once('close', () => memory.remove(holder));
  }

  const isOff = budget === 0;
  return {
    openOutput: isOff ? openDirectOutput : openBufferedOutput,
    openBody: isOff ? () => UNCOUNTED_BODY : openBufferedBody,
    reserveResult: isOff ? () => {} : reserveResult,
    describeState: () => ({
      budget,
      bytes: memory.countBytes(),
      paused: memory.countPaused(),
      accounts: memory.listAccounts().slice(0, LISTED_ACCOUNTS),
    }),
  };
}

const UNCOUNTED_BODY: ArrivingBody = {noteArrived() {}, close() {}};

/** Writes to the connection alone, which buffers little before it is full. */
function openDirectOutput({response}: OutputTarget): AnswerOutput {
  return {
    write(chunk, resume) {
      if (chunk.length === 0 || response.write(chunk)) return true;
      response.once('drain', resume);
      return false;
    },
    end: () => void response.end(),
  };
}

function buildNoRoomError(): RouterError {
  return new RouterError(
    'overloaded',
    'there is no memory for the data of the caller now',
    {verdict: 'not-run', retryAfterMs: BODY_RETRY_AFTER_MS},
  );
}
