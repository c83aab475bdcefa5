/** Measures the cost of one configuration poll over the table's protocol. */
import diagnostics from 'node:diagnostics_channel';
import type net from 'node:net';
import {startConnectedPlatform} from '../../testing/platforms.js';
import {ENGINE_DOCUMENT} from '../../testing/fixtures.js';
import {
  applyServiceDocument,
  createConfiguration,
} from '../../instance/configuration/configuration.js';

const POLLS = 500;

/** Processor time includes adapter and stand-in; bytes are those of both directions. */
export interface PollCost {
  cpuMs: number;
  bytes: number;
}

/** Measures sequential polls that find no change and returns their mean cost. */
export async function measurePoll(): Promise<PollCost> {
  const sockets = new Set<net.Socket>();
  const addSocket = (message: unknown) =>
    sockets.add((message as {socket: net.Socket}).socket);
  diagnostics.subscribe('net.client.socket', addSocket);
  const countBytes = () =>
    [...sockets].reduce(
      (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
      0,
    );
  const tested = await startConnectedPlatform();
  const {table} = tested.platform;
  await applyServiceDocument(table, ENGINE_DOCUMENT, 'ana');
  const configuration = createConfiguration(table);
  for (let poll = 0; poll < POLLS; poll++) await configuration.poll();
  const bytes = countBytes();
  const cpu = process.cpuUsage();
  for (let poll = 0; poll < POLLS; poll++) await configuration.poll();
  const {user, system} = process.cpuUsage(cpu);
  const cost = {
    cpuMs: (user + system) / 1000 / POLLS,
    bytes: (countBytes() - bytes) / POLLS,
  };
  diagnostics.unsubscribe('net.client.socket', addSocket);
  await tested.close();
  return cost;
}
