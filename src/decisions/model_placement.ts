/**
 * Decides which endpoints should change the model they serve, and which of them
 * do so now.
 *
 * Load pattern: demand moves between models over minutes. Without moves, the
 * endpoints of one model are saturated beside idle ones. With a move for every
 * fluctuation, endpoints spend their time loading weights, and if all load at
 * once they exhaust the rate of the weight store, so that each load takes many
 * times as long.
 *
 * - Each model in demand keeps at least one endpoint. The others are
 *   distributed by demand, the largest remainder first.
 * - An endpoint is moved only if the model that gains it lacks at least
 *   MIN_MOVE_GAIN of an endpoint. A load takes about a minute, and smaller
 *   fluctuations would move the same endpoint back and forth.
 * - At most `budget` loads run at once, and further ones wait. An endpoint that
 *   is loading is not moved again.
 */

/** Minimum shortage of endpoints of a model before one is moved to it. */
export const MIN_MOVE_GAIN = 0.75;

/** An endpoint and its model. */
export interface PlacedModel {
  endpoint: string;
  /** Model that it serves or is loading; empty if none. */
  model: string;
  isLoading: boolean;
}

/** An endpoint that should load another model now. */
export interface ModelMove {
  endpoint: string;
  from: string;
  to: string;
}

/**
 * Plans moves; `demand` is the work per second by model, in any common unit.
 */
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
    const to = findModelInShortage(shares, counts);
    if (to === undefined) break;
    const index = findDonor(movable, shares, counts, to);
    if (index < 0) break;
    const [{endpoint, model: from}] = movable.splice(index, 1);
    moves.push({endpoint, from, to});
    counts.set(from, (counts.get(from) ?? 0) - 1);
    counts.set(to, (counts.get(to) ?? 0) + 1);
  }
  return moves;
}

/**
 * Computes the endpoints each model should have: one, and a share by demand.
 */
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

/** Returns the model with the largest shortage, if it is worth a load. */
function findModelInShortage(
  shares: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, number>,
): string | undefined {
  let chosen: string | undefined;
  let most = 0;
  for (const [model, share] of shares) {
    const count = counts.get(model) ?? 0;
    const short = share - count;
    const isEnough = short >= MIN_MOVE_GAIN || count === 0;
    if (!isEnough || short <= most) continue;
    chosen = model;
    most = short;
  }
  return chosen;
}

/**
 * Returns the index of an endpoint of the largest surplus; -1 if there is none.
 */
function findDonor(
  movable: readonly PlacedModel[],
  shares: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, number>,
  to: string,
): number {
  let donor = -1;
  let most = -Infinity;
  movable.forEach(({model}, index) => {
    const share = shares.get(model) ?? 0;
    const surplus = (counts.get(model) ?? 0) - share;
    // A model in demand never gives its last endpoint.
    const isLast = share > 0 && counts.get(model) === 1;
    const isFull = (counts.get(to) ?? 0) > 0 && surplus <= 0;
    if (model === to || isLast || isFull || surplus <= most) return;
    donor = index;
    most = surplus;
  });
  return donor;
}
