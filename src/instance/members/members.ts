/**
 * Tracks the members of the fleet. The platform's list lags by seconds and
 * shows a dead instance as live. Heartbeats to a few peers detect a silent
 * instance within about two seconds, and updates sent with them correct the
 * list.
 */
import type {Clock} from '../../common/clock.js';
import {createSystemClock} from '../../common/clock.js';
import type {StateSource} from '../../common/state_dump.js';
import {orderRing, rankByRendezvous} from '../../decisions/instance_ranking.js';
import {
  hasMostlyFailed,
  isSilentRound,
  type HeartbeatRound,
  type LossSigns,
} from '../../decisions/loss_signs.js';
import type {AnswerPeriod} from '../../decisions/store_answers.js';
import type {InstanceList, ListedInstance} from '../../stores/instance_list.js';
import {
  FAILURES_TO_SUSPECT,
  FAILURES_TO_SUSPECT_WHEN_MOST_FAIL,
  MAX_UPDATES_PER_HEARTBEAT,
  WITNESS_INTERVAL_ROUNDS,
  WITNESS_INTERVAL_ROUNDS_WITHOUT_STORE,
} from './constants.js';
import {createAbsences, type AbsentInstance} from './absences.js';
import type {Heartbeat} from './heartbeat_router.js';
import {selectRingNeighbours, selectWitnesses} from './heartbeat_targets.js';
import {createMemberUpdates, type MemberUpdate} from './member_updates.js';

/** This instance as others see it. */
export interface SelfDescription {
  name: string;
  /** Address at which peers reach it. */
  address: string;
  region: string;
  failureDomain: string;
  /** Unique to one run of the process. */
  incarnation: string;
  /** Start time in ms of the clock that all instances share, if known. */
  startedAt?: number;
  /** Cores that it may use, if the list has that number. */
  capacity?: number;
}

/** The last status that a peer reported, and when. */
export interface WitnessReport {
  name: string;
  failureDomain: string;
  generation: number;
  storeReachable: boolean;
  /**
   * Period in which the store answered, as reported by the peer, in this
   * instance's time.
   */
  storeRun?: AnswerPeriod;
  /** Evacuated failure domains; undefined if the peer does not report them. */
  evacuated?: readonly string[];
  /**
   * Monotonic time at which this instance sent the heartbeat that the peer
   * responded to.
   */
  askedAt: number;
}

/** Clock and callbacks of the members. All have defaults. */
export interface MembersOptions {
  clock?: Clock;
  /** Rejects when the peer does not respond in time. */
  sendHeartbeat?(
    peer: ListedInstance,
    heartbeat: Heartbeat,
  ): Promise<Heartbeat>;
  /** Status that is sent with each heartbeat and each response. */
  readStatus?(): {generation: number; storeReachable: boolean};
  /**
   * Period in which the store answered, sent with each response to a heartbeat.
   */
  readAnswerPeriod?(): AnswerPeriod | undefined;
  /** Evacuated failure domains, sent with each response to a heartbeat. */
  readEvacuated?(): readonly string[];
}

/** Members and endpoints as this instance sees them now. */
export interface Members extends StateSource {
  self: SelfDescription;
  /** Entry instances that accept work, with this one unless it is leaving. */
  listLive(): ListedInstance[];
  /** Endpoints of a service that accept new work. */
  listEndpoints(service: string): ListedInstance[];
  /** Live instances by preference for a key, the responsible one first. */
  rankInstances(key: string): ListedInstance[];
  /** Other entry instances of the platform's list, suspected ones included. */
  listListedPeers(): ListedInstance[];
  /** A listed entry instance, live or not. */
  find(name: string): ListedInstance | undefined;
  /**
   * The incarnation of a peer, if heartbeats or member updates have reported
   * it.
   */
  findIncarnation(name: string): string | undefined;
  /** Whether a listed instance was found silent. */
  isSuspected(name: string): boolean;
  /**
   * Time since which an instance is absent: it is suspected, and did not confirm
   * its presence through the store either.
   */
  findAbsentSince(name: string): number | undefined;
  /**
   * Suspects the instances that a presence check, begun at `since`, found
   * absent, except those that have been heard from after that.
   */
  noteAbsent(absent: readonly AbsentInstance[], since: number): void;
  /** When a peer was last heard from directly. */
  findHeardAt(name: string): number | undefined;
  /** What the heartbeats show of a loss of many instances. */
  describeLoss(): Omit<LossSigns, 'hasMajority'>;
  /** The incarnation of a peer that has reported that it is leaving. */
  findLeaving(name: string): string | undefined;
  /** The newest report of each peer that responded to a heartbeat. */
  listWitnessReports(): WitnessReport[];
  /**
   * Calls the listener whenever the set of live instances changes. Returns a
   * function that unsubscribes.
   */
  subscribe(listener: () => void): () => void;
  /** Reads the platform's list. Throws StoreError if it does not respond. */
  poll(): Promise<void>;
  /** Sends one round of heartbeats and applies the responses. */
  sendHeartbeats(): Promise<void>;
  /** Applies a peer's heartbeat and returns the response. */
  handleHeartbeat(heartbeat: Heartbeat): Heartbeat;
  /** Notifies peers that this instance accepts no more work. */
  leave(): Promise<void>;
}

/** Creates members that know only this instance until the first poll. */
export function createMembers(
  self: SelfDescription,
  list: InstanceList,
  options: MembersOptions = {},
): Members {
  const clock = options.clock ?? createSystemClock();
  const {sendHeartbeat, readAnswerPeriod = () => undefined} = options;
  const {readEvacuated = () => undefined} = options;
  const readStatus =
    options.readStatus ?? (() => ({generation: 0, storeReachable: true}));
  const updates = createMemberUpdates();
  const absences = createAbsences();
  const failures = new Map<string, number>();
  const reports = new Map<string, WitnessReport>();
  const listeners = new Set<() => void>();
  let listed: ListedInstance[] = [];
  let listedNames: ReadonlySet<string> = new Set();
  /** Other entry instances of the list, in ring order. */
  let others: ListedInstance[] = [];
  let live: ListedInstance[] = [];
  let liveNames = '';
  let rounds = 0;
  let silentRounds = 0;
  let leaving = false;
  let counter = 0;
  updateLive();

  function describeSelf(): ListedInstance {
    const {name, address, region, failureDomain, startedAt, capacity} = self;
    const state = leaving ? 'leaving' : 'live';
    const place = {address, region, failureDomain};
    return {name, role: 'entry', ...place, startedAt, capacity, state};
  }

  function isOther({role, name}: ListedInstance): boolean {
    return role === 'entry' && name !== self.name;
  }

  /** Most polls return the same entry objects. Then nothing is recomputed. */
  function noteList(next: ListedInstance[]) {
    const isSame =
      next.length === listed.length &&
      next.every((entry, index) => entry === listed[index]);
    if (isSame) return;
    listed = next;
    listedNames = new Set(listed.map(({name}) => name));
    others = orderRing(self.name, listed.filter(isOther));
    for (const name of reports.keys()) {
      if (!listedNames.has(name)) reports.delete(name);
    }
    updateLive();
  }

  function isSuspected(name: string): boolean {
    return updates.find(name)?.state === 'suspected';
  }

  function isLive({name, state}: ListedInstance): boolean {
    const reportedState = updates.find(name)?.state ?? 'live';
    return state === 'live' && reportedState === 'live';
  }

  /** Listeners are called only on changes, not on each poll. */
  function updateLive() {
    live = [describeSelf(), ...others].filter(isLive);
    live.sort((a, b) => (a.name < b.name ? -1 : 1));
    const names = live.map(({name, address}) => `${name}@${address}`).join();
    if (names === liveNames) return;
    liveNames = names;
    for (const listener of listeners) listener();
  }

  /**
   * Builds the heartbeat to one peer. It always contains the stored update
   * about that peer, however old: otherwise an instance that was cut off for
   * longer than updates are propagated could not refute a suspicion.
   */
  function buildHeartbeat(to: string): Heartbeat {
    const {name, incarnation} = self;
    const held = updates.find(to);
    const otherUpdates = updates
      .select(clock.now())
      .filter(update => update.name !== to);
    const news = held
      ? [held, ...otherUpdates].slice(0, MAX_UPDATES_PER_HEARTBEAT)
      : otherUpdates;
    return {name, incarnation, ...readStatus(), news};
  }

  /** A wrongly suspected instance refutes the suspicion at once. */
  function noteUpdateOfSelf(update: MemberUpdate, now: number) {
    if (update.incarnation !== self.incarnation) return;
    if (update.state === 'live' || leaving || update.counter < counter) return;
    counter = update.counter + 1;
    const {name, incarnation} = self;
    updates.replace({name, incarnation, state: 'live', counter}, now);
  }

  /** Returns whether the update changed the stored state of another member. */
  function noteUpdate(update: MemberUpdate, now: number): boolean {
    if (update.name === self.name) {
      noteUpdateOfSelf(update, now);
      return false;
    }
    const hasChanged = updates.note(update, now);
    if (hasChanged && update.state === 'live') absences.clear(update.name);
    return hasChanged;
  }

  function noteHeartbeat(heartbeat: Heartbeat, now: number) {
    const {name, incarnation} = heartbeat;
    const isNewRun = updates.find(name)?.incarnation !== incarnation;
    if (isNewRun) {
      updates.replace({name, incarnation, state: 'live', counter: 0}, now);
    }
    failures.delete(name);
    absences.noteHeard(name, now);
    const changes = heartbeat.news.filter(update => noteUpdate(update, now));
    if (isNewRun || changes.length > 0) updateLive();
  }

  function noteFailure(peer: ListedInstance, needed: number) {
    const {name} = peer;
    const count = (failures.get(name) ?? 0) + 1;
    failures.set(name, count);
    const held = updates.find(name);
    if (count < needed || (held && held.state !== 'live')) return;
    markSuspected(name, held?.incarnation ?? '', clock.now());
    updateLive();
  }

  function markSuspected(name: string, incarnation: string, now: number) {
    const held = updates.find(name);
    const counter = held?.incarnation === incarnation ? held.counter : 0;
    updates.replace({name, incarnation, state: 'suspected', counter}, now);
  }

  /** Whether what is known of an instance is of this run and not newer. */
  function isOfRun({name, incarnation}: AbsentInstance): boolean {
    const held = updates.find(name);
    if (!held) return true;
    return held.state !== 'leaving' && held.incarnation <= incarnation;
  }

  async function probePeer(peer: ListedInstance): Promise<boolean> {
    const askedAt = clock.now();
    try {
      const answer = await sendHeartbeat!(peer, buildHeartbeat(peer.name));
      const {name, failureDomain} = peer;
      const {generation, storeReachable, evacuated} = answer;
      const answeredAt = clock.now();
      reports.set(name, {
        name,
        failureDomain,
        generation,
        storeReachable,
        storeRun: decodeAnswerPeriod(answer, askedAt, answeredAt),
        evacuated,
        askedAt,
      });
      noteHeartbeat(answer, answeredAt);
      return true;
    } catch {
      return false;
    }
  }

  /**
   * Heartbeat rounds between two heartbeats to the witnesses. New updates go to
   * the other failure domains in every round.
   */
  function computeWitnessPeriod(): number {
    if (updates.hasFresh(clock.now())) return 1;
    if (readStatus().storeReachable) return WITNESS_INTERVAL_ROUNDS;
    return WITNESS_INTERVAL_ROUNDS_WITHOUT_STORE;
  }

  function selectTargets() {
    const round = rounds++;
    const ring = others.filter(({state}) => state === 'live');
    const neighbours = selectRingNeighbours(ring, isSuspected, round);
    if (round % computeWitnessPeriod() !== 0) {
      return {neighbours, targets: neighbours};
    }
    const witnesses = selectWitnesses(self, ring.filter(isLive));
    return {neighbours, targets: [...new Set([...neighbours, ...witnesses])]};
  }

  /** Suspected instances and those that are leaving are not expected to respond. */
  async function sendRound() {
    const {neighbours, targets} = selectTargets();
    const expected = new Set(targets.filter(isLive));
    const answers = await Promise.all(targets.map(probePeer));
    const failed = targets.filter((_, index) => !answers[index]);
    const missed = new Set(failed);
    const watched = neighbours.filter(each => expected.has(each));
    const responded = (peers: Iterable<ListedInstance>) =>
      [...peers].filter(each => !missed.has(each)).length;
    const round: HeartbeatRound = {
      neighbours: watched.length,
      neighboursResponded: responded(watched),
      targets: expected.size,
      targetsResponded: responded(expected),
    };
    return {failed, round};
  }

  return {
    self,
    listLive: () => live,
    listEndpoints: service =>
      listed.filter(
        member =>
          member.role === 'endpoint' &&
          member.state === 'live' &&
          member.service === service,
      ),
    rankInstances: key => rankByRendezvous(key, live),
    listListedPeers: () => others,
    isSuspected,
    findAbsentSince: name =>
      isSuspected(name) ? absences.findSince(name) : undefined,
    noteAbsent(absent, since) {
      const now = clock.now();
      for (const each of absent) {
        const {name, incarnation} = each;
        if (name === self.name || !isOfRun(each)) continue;
        if ((absences.findHeardAt(name) ?? -Infinity) >= since) continue;
        absences.note(name, since);
        if (!isSuspected(name)) markSuspected(name, incarnation, now);
      }
      updateLive();
    },
    findHeardAt: absences.findHeardAt,
    describeLoss: () => ({
      silentRounds,
      unconfirmed: others.filter(
        ({name}) => isSuspected(name) && absences.findSince(name) === undefined,
      ).length,
    }),
    find: name =>
      name === self.name
        ? describeSelf()
        : others.find(member => member.name === name),
    findIncarnation: name => updates.find(name)?.incarnation || undefined,
    findLeaving(name) {
      const update = updates.find(name);
      return update?.state === 'leaving' ? update.incarnation : undefined;
    },
    listWitnessReports: () => [...reports.values()],
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    async poll() {
      noteList(await list.fetch());
      updates.expire(listedNames, clock.now());
      absences.retain(listedNames);
    },
    async sendHeartbeats() {
      if (!sendHeartbeat) return;
      const {failed, round} = await sendRound();
      silentRounds = isSilentRound(round) ? silentRounds + 1 : 0;
      // When most peers fall silent at once, the fault is more likely at this
      // instance. Suspecting them all would leave it alone in its own view.
      const needed = hasMostlyFailed(round)
        ? FAILURES_TO_SUSPECT_WHEN_MOST_FAIL
        : FAILURES_TO_SUSPECT;
      for (const peer of failed) noteFailure(peer, needed);
    },
    handleHeartbeat(heartbeat) {
      const now = clock.now();
      noteHeartbeat(heartbeat, now);
      const storeRun = encodeAnswerPeriod(readAnswerPeriod(), now);
      const evacuated = readEvacuated()?.slice();
      return {...buildHeartbeat(heartbeat.name), storeRun, evacuated};
    },
    async leave() {
      leaving = true;
      const {name, incarnation} = self;
      updates.replace(
        {name, incarnation, state: 'leaving', counter},
        clock.now(),
      );
      updateLive();
      if (!sendHeartbeat) return;
      await Promise.all(selectTargets().targets.map(probePeer));
    },
    describeState: () => ({
      self,
      leaving,
      live: live.map(({name}) => name),
      news: updates.list(),
      reports: [...reports.values()],
    }),
  };
}

function encodeAnswerPeriod(
  period: AnswerPeriod | undefined,
  now: number,
): Heartbeat['storeRun'] {
  return period && {fromMs: now - period.from, toMs: now - period.to};
}

/**
 * Converts the ages to this instance's clock. The time that the heartbeat and
 * its response were on their way is unknown, so the shortest possible period is
 * taken.
 */
function decodeAnswerPeriod(
  {storeRun}: Heartbeat,
  askedAt: number,
  answeredAt: number,
): AnswerPeriod | undefined {
  if (!storeRun) return undefined;
  const from = answeredAt - storeRun.fromMs;
  const to = askedAt - storeRun.toMs;
  return from <= to ? {from, to} : undefined;
}
