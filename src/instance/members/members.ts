/**
 * Who else is there: the platform's list, corrected by what instances say of
 * themselves to a few peers. The list lags by seconds and shows a dead instance
 * as live; heartbeats find it silent within about two seconds.
 */
import type {Clock} from '../../common/clock.js';
import {createSystemClock} from '../../common/clock.js';
import type {StateSource} from '../../common/state_dump.js';
import {orderRing, rankByRendezvous} from '../../decisions/instance_ranking.js';
import type {AnswerRun} from '../../decisions/store_answers.js';
import type {InstanceList, ListedInstance} from '../../stores/instance_list.js';
import {
  FAILURES_TO_SUSPECT,
  FAILURES_TO_SUSPECT_IN_DOUBT,
  MAX_NEWS_PER_HEARTBEAT,
  WITNESS_EVERY_BEATS,
  WITNESS_EVERY_BEATS_IN_DOUBT,
} from './constants.js';
import type {Heartbeat} from './heartbeat_router.js';
import {selectRingNeighbours, selectWitnesses} from './heartbeat_targets.js';
import {createNewsBoard, type MemberNews} from './member_news.js';

/** This instance, as others see it. */
export interface SelfDescription {
  name: string;
  /** Where peers reach it. */
  address: string;
  region: string;
  failureDomain: string;
  /** Unique to one run of the process. */
  incarnation: string;
  /** When it started, in ms of a clock that all share, where that is told. */
  startedAt?: number;
  /** Cores it may use, where the list tells that. */
  capacity?: number;
}

/** What a peer last said of itself, and when. */
export interface WitnessReport {
  name: string;
  failureDomain: string;
  generation: number;
  storeReachable: boolean;
  /** The store's answers that the peer knew of, on this instance's clock. */
  storeRun?: AnswerRun;
  /** This instance's monotonic time of sending the heartbeat it answered. */
  askedAt: number;
}

/** What members ask of the rest of the instance; all have defaults. */
export interface MembersOptions {
  clock?: Clock;
  /** Rejects when the peer gives no answer in time. */
  sendHeartbeat?(
    peer: ListedInstance,
    heartbeat: Heartbeat,
  ): Promise<Heartbeat>;
  /** Passed along with each heartbeat and answer. */
  readStatus?(): {generation: number; storeReachable: boolean};
  /** Passed along with each answer to a heartbeat. */
  readStoreRun?(): AnswerRun | undefined;
}

/** Members and endpoints as this instance sees them now. */
export interface Members extends StateSource {
  self: SelfDescription;
  /** Entry instances that take work, this one included unless it leaves. */
  listLive(): ListedInstance[];
  /** Endpoints of a service that take new work. */
  listEndpoints(service: string): ListedInstance[];
  /** Live instances by preference for a key, the responsible one first. */
  rankInstances(key: string): ListedInstance[];
  /** Other entry instances of the platform's list, suspected ones included. */
  listListedPeers(): ListedInstance[];
  /** A listed entry instance, live or not. */
  find(name: string): ListedInstance | undefined;
  /** The run of a peer, as far as heartbeats or news have told it. */
  findIncarnation(name: string): string | undefined;
  /** Whether a listed instance was found silent. */
  isSuspected(name: string): boolean;
  /** The newest report of each peer that answered a heartbeat. */
  listWitnessReports(): WitnessReport[];
  /** Told whenever the set of live instances changes; returns the end of it. */
  subscribe(listener: () => void): () => void;
  /** Reads the platform's list; throws StoreError when it gives no answer. */
  poll(): Promise<void>;
  /** Sends one round of heartbeats and takes in the answers. */
  sendHeartbeats(): Promise<void>;
  /** Takes in a peer's heartbeat and answers it. */
  handleHeartbeat(heartbeat: Heartbeat): Heartbeat;
  /** Tells peers that this instance takes no more work. */
  leave(): Promise<void>;
}

/** Starts knowing nobody. */
export function createMembers(
  self: SelfDescription,
  list: InstanceList,
  options: MembersOptions = {},
): Members {
  const clock = options.clock ?? createSystemClock();
  const {sendHeartbeat, readStoreRun = () => undefined} = options;
  const readStatus =
    options.readStatus ?? (() => ({generation: 0, storeReachable: true}));
  const board = createNewsBoard();
  const failures = new Map<string, number>();
  const reports = new Map<string, WitnessReport>();
  const listeners = new Set<() => void>();
  let listed: ListedInstance[] = [];
  let listedNames: ReadonlySet<string> = new Set();
  /** Other entry instances of the list, in the order of the ring. */
  let others: ListedInstance[] = [];
  let live: ListedInstance[] = [];
  let liveNames = '';
  let beats = 0;
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

  /** Most polls bring the very same entries; then nothing is worked out anew. */
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
    return board.find(name)?.state === 'suspected';
  }

  function isLive({name, state}: ListedInstance): boolean {
    const told = board.find(name)?.state ?? 'live';
    return state === 'live' && told === 'live';
  }

  /** Listeners hear only of changes, not of each poll. */
  function updateLive() {
    live = [describeSelf(), ...others].filter(isLive);
    live.sort((a, b) => (a.name < b.name ? -1 : 1));
    const names = live.map(({name, address}) => `${name}@${address}`).join();
    if (names === liveNames) return;
    liveNames = names;
    for (const listener of listeners) listener();
  }

  /**
   * `to` always hears what is held against it, however old: an instance that
   * was cut off for longer than news lives could not refute it otherwise.
   */
  function buildHeartbeat(to: string): Heartbeat {
    const {name, incarnation} = self;
    const held = board.find(to);
    const old = board.select(clock.now()).filter(news => news.name !== to);
    const news = held ? [held, ...old].slice(0, MAX_NEWS_PER_HEARTBEAT) : old;
    return {name, incarnation, ...readStatus(), news};
  }

  /** An instance that is wrongly suspected says so at once. */
  function noteNewsOfSelf(news: MemberNews, now: number) {
    if (news.incarnation !== self.incarnation) return;
    if (news.state === 'live' || leaving || news.counter < counter) return;
    counter = news.counter + 1;
    const {name, incarnation} = self;
    board.replace({name, incarnation, state: 'live', counter}, now);
  }

  /** Whether it changed what is held. */
  function noteTold(news: MemberNews, now: number): boolean {
    if (news.name !== self.name) return board.note(news, now);
    noteNewsOfSelf(news, now);
    return false;
  }

  function noteHeartbeat(heartbeat: Heartbeat, now: number) {
    const {name, incarnation} = heartbeat;
    const isNewRun = board.find(name)?.incarnation !== incarnation;
    if (isNewRun) {
      board.replace({name, incarnation, state: 'live', counter: 0}, now);
    }
    failures.delete(name);
    const changes = heartbeat.news.filter(news => noteTold(news, now));
    if (isNewRun || changes.length > 0) updateLive();
  }

  function noteFailure(peer: ListedInstance, needed: number) {
    const count = (failures.get(peer.name) ?? 0) + 1;
    failures.set(peer.name, count);
    const held = board.find(peer.name);
    if (count < needed || (held && held.state !== 'live')) return;
    const {name} = peer;
    const incarnation = held?.incarnation ?? '';
    const told = held?.counter ?? 0;
    board.replace(
      {name, incarnation, state: 'suspected', counter: told},
      clock.now(),
    );
    updateLive();
  }

  async function probePeer(peer: ListedInstance): Promise<boolean> {
    const askedAt = clock.now();
    try {
      const answer = await sendHeartbeat!(peer, buildHeartbeat(peer.name));
      const {name, failureDomain} = peer;
      const {generation, storeReachable} = answer;
      const answeredAt = clock.now();
      reports.set(name, {
        name,
        failureDomain,
        generation,
        storeReachable,
        storeRun: decodeStoreRun(answer, askedAt, answeredAt),
        askedAt,
      });
      noteHeartbeat(answer, answeredAt);
      return true;
    } catch {
      return false;
    }
  }

  /** In beats. Fresh news goes to other failure domains without waiting. */
  function computeWitnessPeriod(): number {
    if (board.hasFresh(clock.now())) return 1;
    if (readStatus().storeReachable) return WITNESS_EVERY_BEATS;
    return WITNESS_EVERY_BEATS_IN_DOUBT;
  }

  function selectTargets(): ListedInstance[] {
    const ring = others.filter(({state}) => state === 'live');
    const neighbours = selectRingNeighbours(ring, isSuspected);
    if (beats++ % computeWitnessPeriod() !== 0) return neighbours;
    const witnesses = selectWitnesses(self, ring.filter(isLive));
    return [...new Set([...neighbours, ...witnesses])];
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
    find: name =>
      name === self.name
        ? describeSelf()
        : others.find(member => member.name === name),
    findIncarnation: name => board.find(name)?.incarnation || undefined,
    listWitnessReports: () => [...reports.values()],
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    async poll() {
      noteList(await list.fetch());
      board.expire(listedNames, clock.now());
    },
    async sendHeartbeats() {
      if (!sendHeartbeat) return;
      const targets = selectTargets();
      const answers = await Promise.all(targets.map(probePeer));
      const failed = targets.filter((_, index) => !answers[index]);
      // When most peers fall silent at once, the fault is more likely here;
      // suspecting them all would leave this instance alone in its own view.
      const inDoubt = targets.length > 2 && failed.length * 2 > targets.length;
      const needed = inDoubt
        ? FAILURES_TO_SUSPECT_IN_DOUBT
        : FAILURES_TO_SUSPECT;
      for (const peer of failed) noteFailure(peer, needed);
    },
    handleHeartbeat(heartbeat) {
      const now = clock.now();
      noteHeartbeat(heartbeat, now);
      const storeRun = encodeStoreRun(readStoreRun(), now);
      return {...buildHeartbeat(heartbeat.name), storeRun};
    },
    async leave() {
      leaving = true;
      const {name, incarnation} = self;
      board.replace(
        {name, incarnation, state: 'leaving', counter},
        clock.now(),
      );
      updateLive();
      if (!sendHeartbeat) return;
      await Promise.all(selectTargets().map(probePeer));
    },
    describeState: () => ({
      self,
      leaving,
      live: live.map(({name}) => name),
      news: board.list(),
      reports: [...reports.values()],
    }),
  };
}

function encodeStoreRun(
  run: AnswerRun | undefined,
  now: number,
): Heartbeat['storeRun'] {
  return run && {fromMs: now - run.from, toMs: now - run.to};
}

/**
 * The way took some of the time between: the run is taken for the shortest that
 * it can have been.
 */
function decodeStoreRun(
  {storeRun}: Heartbeat,
  askedAt: number,
  answeredAt: number,
): AnswerRun | undefined {
  if (!storeRun) return undefined;
  const from = answeredAt - storeRun.fromMs;
  const to = askedAt - storeRun.toMs;
  return from <= to ? {from, to} : undefined;
}
