/**
 * Which endpoints should change the model they serve, and which of them now.
 *
 * Pattern of load: demand moves between models over minutes. Without moves one
 * model's endpoints saturate beside idle ones; with a move for every swing,
 * endpoints spend their time loading weights, and all of them at once exhaust
 * the weight store's rate, so that each load takes many times as long.
 *
 * - Each model in demand keeps at least one endpoint; the rest are shared out
 *   by demand, the largest remainder first.
 * - A move pays only when the model that gains is short by MOVE_GAIN of an
 *   endpoint: a load takes about a minute, and demand that sways by less would
 *   move the same endpoint back and forth.
 * - At most `budget` loads are under way at once, the rest wait their turn; an
 *   endpoint that is loading is not moved again.
 */

/** Endpoints a model must be short of before one is moved to it. */
export const MOVE_GAIN = 0.75;

/** An endpoint as its model goes. */
export interface PlacedModel {
  endpoint: string;
  /** Model it serves or is loading; empty when none. */
  model: string;
  isLoading: boolean;
}

/** An endpoint that should load another model now. */
export interface ModelMove {
  endpoint: string;
  from: string;
  to: string;
}

/** `demand` is work a second by model, in any unit common to all. */
export function planModelMoves(
  placed: readonly PlacedModel[],
  demand: ReadonlyMap<string, number>,
  budget: number,
): ModelMove[] {
  const shares = computeShares(placed.length, demand);
  const counts = countModels(placed);
  const movable = placed.filter(({isLoading}) => !isLoading);
  const moves: ModelMove[] = [];
  let room = budget - (placed.length - movable.length);
  for (; room > 0; room--) {
    const to = findShortest(shares, counts);
    if (to === undefined) break;
    const index = findGiver(movable, shares, counts, to);
    if (index < 0) break;
    const [{endpoint, model: from}] = movable.splice(index, 1);
    moves.push({endpoint, from, to});
    counts.set(from, (counts.get(from) ?? 0) - 1);
    counts.set(to, (counts.get(to) ?? 0) + 1);
  }
  return moves;
}

/** Endpoints each model should have: one for each in demand, then by demand. */
function computeShares(
  endpoints: number,
  demand: ReadonlyMap<string, number>,
): Map<string, number> {
  const wanted = [...demand].filter(([, work]) => work > 0);
  const total = wanted.reduce((sum, [, work]) => sum + work, 0);
  const spare = Math.max(0, endpoints - wanted.length);
  return new Map(
    wanted.map(([model, work]) => [model, 1 + (spare * work) / total]),
  );
}

function countModels(placed: readonly PlacedModel[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {model} of placed) counts.set(model, (counts.get(model) ?? 0) + 1);
  return counts;
}

/** The model that is short by the most, if by enough to pay for a load. */
function findShortest(
  shares: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, number>,
): string | undefined {
  let shortest: string | undefined;
  let most = 0;
  for (const [model, share] of shares) {
    const count = counts.get(model) ?? 0;
    const short = share - count;
    const isEnough = short >= MOVE_GAIN || count === 0;
    if (!isEnough || short <= most) continue;
    shortest = model;
    most = short;
  }
  return shortest;
}

/** The endpoint whose model can spare it best; -1 when none can. */
function findGiver(
  movable: readonly PlacedModel[],
  shares: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, number>,
  to: string,
): number {
  let giver = -1;
  let most = -Infinity;
  movable.forEach(({model}, index) => {
    const share = shares.get(model) ?? 0;
    const surplus = (counts.get(model) ?? 0) - share;
    // A model in demand never gives its last endpoint.
    const isLast = share > 0 && counts.get(model) === 1;
    const isFull = (counts.get(to) ?? 0) > 0 && surplus <= 0;
    if (model === to || isLast || isFull || surplus <= most) return;
    giver = index;
    most = surplus;
  });
  return giver;
}
