/**
 * Computes what each engine should run according to the service documents, and
 * the next orders that lead there. Has no side effects. A decision that takes
 * demand into account can replace it as another PlanOrders.
 */
import {rankByRendezvous} from '../../decisions/instance_ranking.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {ServiceDocument} from '../configuration/service_document.js';
import type {EndpointOrder} from '../endpoints/endpoint_adapter.js';
import {WEIGHT_LOADS_PER_POOL, WEIGHT_LOADS_PER_ROUND} from './constants.js';

/** What an engine runs, or should run. */
export interface Placement {
  model: string;
  version: string;
  adapters: string[];
  role: string;
}

/** An engine, what it was ordered to run, and what it should run. */
export interface PlacedEndpoint {
  endpoint: ListedInstance;
  document: ServiceDocument;
  held: Placement;
  wanted: Placement;
}

/** One order, and what the engine runs after it has accepted the order. */
export interface PlannedOrder {
  endpoint: ListedInstance;
  document: ServiceDocument;
  kind: EndpointOrder['kind'];
  name: string;
  result: Placement;
}

/** Selects the orders of one round. */
export type PlanOrders = (
  endpoints: readonly PlacedEndpoint[],
) => PlannedOrder[];

/** The placement of an engine of which nothing is known. */
export const EMPTY_PLACEMENT: Placement = {
  model: '',
  version: '',
  adapters: [],
  role: '',
};

type ModelSection = ServiceDocument['model'][string];

/**
 * Assigns a model to each engine of a service, region by region. Models that
 * specify a number of engines come first, and the others share the rest. An
 * engine keeps its model where possible, because a move makes it fetch weights.
 */
export function placeModels(
  document: ServiceDocument,
  endpoints: readonly ListedInstance[],
  getHeld: (endpoint: ListedInstance) => Placement,
): Map<string, Placement> {
  const assigned = new Map<string, Placement>();
  const sections = Object.entries(document.model);
  for (const region of new Set(endpoints.map(one => one.region))) {
    let free = endpoints.filter(one => one.region === region);
    const here = sections.filter(
      ([, {regions}]) => regions.length === 0 || regions.includes(region),
    );
    const take = (name: string, section: ModelSection, count: number) => {
      const chosen = rankForModel(name, free, getHeld).slice(0, count);
      for (const one of chosen) {
        assigned.set(one.name, toPlacement(name, section));
      }
      free = free.filter(one => !chosen.includes(one));
    };
    const counted = here.filter(([, {endpoints: count}]) => count > 0);
    const sharing = here.filter(([, {endpoints: count}]) => count === 0);
    for (const [name, section] of counted) {
      take(name, section, section.endpoints);
    }
    sharing.forEach(([name, section], at) => {
      take(name, section, Math.ceil(free.length / (sharing.length - at)));
    });
  }
  return assigned;
}

/**
 * Ranks engines that hold the model first, and the others in a stable order.
 */
function rankForModel(
  model: string,
  endpoints: readonly ListedInstance[],
  getHeld: (endpoint: ListedInstance) => Placement,
): ListedInstance[] {
  const ranked = rankByRendezvous(model, endpoints);
  const holds = (one: ListedInstance) => getHeld(one).model === model;
  return [...ranked.filter(holds), ...ranked.filter(one => !holds(one))];
}

function toPlacement(
  model: string,
  {version, adapters, role}: ModelSection,
): Placement {
  return {model, version, adapters, role};
}

interface OrderStep {
  kind: EndpointOrder['kind'];
  name: string;
  /** Whether the engine fetches weights to carry out the order. */
  fetchesWeights: boolean;
  result: Placement;
}

/**
 * The next step of one engine, or undefined if it already runs what it should.
 */
export function findNextStep(
  held: Placement,
  wanted: Placement,
): OrderStep | undefined {
  if (held.model !== wanted.model) {
    const {model} = wanted;
    const result = {...EMPTY_PLACEMENT, model, role: held.role};
    return {kind: 'load-model', name: model, fetchesWeights: true, result};
  }
  const {version, role} = wanted;
  if (version !== '' && held.version !== version) {
    const result = {...held, version};
    return {kind: 'set-version', name: version, fetchesWeights: true, result};
  }
  const extra = held.adapters.find(name => !wanted.adapters.includes(name));
  if (extra !== undefined) {
    const adapters = held.adapters.filter(name => name !== extra);
    const result = {...held, adapters};
    return {kind: 'unload-adapter', name: extra, fetchesWeights: false, result};
  }
  const missing = wanted.adapters.find(name => !held.adapters.includes(name));
  if (missing !== undefined) {
    const result = {...held, adapters: [...held.adapters, missing]};
    return {kind: 'load-adapter', name: missing, fetchesWeights: true, result};
  }
  if (role === '' || held.role === role) return undefined;
  const result = {...held, role};
  return {kind: 'set-role', name: role, fetchesWeights: false, result};
}

/** Plans one step per engine, within the limits on weight loads. */
export const planOrders: PlanOrders = endpoints => {
  const loadsByPool = new Map<string, number>();
  let loads = 0;

  function takeLoad(pool: string): boolean {
    const inPool = loadsByPool.get(pool) ?? 0;
    if (loads >= WEIGHT_LOADS_PER_ROUND || inPool >= WEIGHT_LOADS_PER_POOL) {
      return false;
    }
    loads++;
    loadsByPool.set(pool, inPool + 1);
    return true;
  }

  return endpoints.flatMap(({endpoint, document, held, wanted}) => {
    const step = findNextStep(held, wanted);
    if (!step) return [];
    const {kind, name, fetchesWeights, result} = step;
    const pool = `${document.service.name}/${endpoint.region}`;
    if (fetchesWeights && !takeLoad(pool)) return [];
    return [{endpoint, document, kind, name, result}];
  });
};
