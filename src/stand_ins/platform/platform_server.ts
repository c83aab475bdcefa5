/**
 * A platform stand-in on loopback. It serves the table service, the object store
 * and the instance list over their protocols on one port, from an in-memory
 * platform. If a service is down or a response is lost, the connection is closed.
 */
import {createServer, type ServerResponse} from 'node:http';
import {listenServer} from '../../common/listen.js';
import {createSystemClock, type Clock} from '../../common/clock.js';
import {StoreError} from '../../stores/table_store.js';
import {handleControl} from './control_routes.js';
import {createDynamoRoute} from './dynamo_routes.js';
import {
  buildJsonResponse,
  readRequest,
  sendResponse,
  type PreparedResponse,
  type ReceivedRequest,
} from './http_messages.js';
import {createMemoryPlatform, type MemoryPlatform} from './memory_platform.js';
import {buildListResponse} from './instance_list_route.js';
import {createS3Route} from './s3_routes.js';
import {verifySignature, type KnownCredentials} from './verify_signature.js';

/** Path of the instance list. */
const INSTANCES_PATH = '/instances';

/** Prefix of the paths that control the stand-in. */
const CONTROL_PREFIX = '/control/';

/** A running platform stand-in. */
export interface PlatformServer {
  /** Host and port of the server. */
  address: string;
  /** Entries of the `[platform]` section that connect to this server. */
  settings: Record<string, string>;
  platform: MemoryPlatform;
  close(): Promise<void>;
}

/** Options of the server. */
export interface PlatformServerOptions {
  /** Port to listen on; 0 picks a free port. */
  port?: number;
  clock?: Clock;
  bucket?: string;
  credentials?: KnownCredentials;
  /** Platform to serve instead of an empty one. */
  platform?: MemoryPlatform;
}

const DEFAULT_CREDENTIALS: KnownCredentials = {
  accessKeyId: 'stand-in',
  secretAccessKey: 'stand-in-secret',
};

/** Starts the server on loopback. */
export async function startPlatformServer(
  options: PlatformServerOptions = {},
): Promise<PlatformServer> {
  const {
    port = 0,
    clock = createSystemClock(),
    bucket = 'mulberryrouter',
    credentials = DEFAULT_CREDENTIALS,
    platform = createMemoryPlatform(clock),
  } = options;
  const routeTable = createDynamoRoute(platform.table, () => clock.now());
  const routeObjects = createS3Route(platform.objects, bucket);

  async function dispatchSigned(
    request: ReceivedRequest,
  ): Promise<PreparedResponse> {
    if (!(await verifySignature(request, credentials))) {
      return buildJsonResponse(403, {
        __type: 'x#InvalidSignatureException',
        message: 'the signature does not match',
      });
    }
    const isTable = request.headers['x-amz-target'] !== undefined;
    return isTable ? routeTable(request) : routeObjects(request);
  }

  async function dispatchRequest(
    request: ReceivedRequest,
  ): Promise<PreparedResponse> {
    const {pathname} = request.url;
    if (pathname.startsWith(CONTROL_PREFIX)) {
      return handleControl(platform, request);
    }
    if (pathname === INSTANCES_PATH) {
      return buildListResponse(request, await platform.instances.fetch());
    }
    return dispatchSigned(request);
  }

  const server = createServer(async (incoming, response) => {
    try {
      const request = await readRequest(incoming);
      sendResponse(request, response, await dispatchRequest(request));
    } catch (error) {
      sendFailure(response, error);
    }
  });
  const address = await listenServer(server, 'platform', '127.0.0.1', port);
  return {
    address,
    platform,
    settings: {
      table_url: `http://${address}`,
      object_url: `http://${address}`,
      bucket,
      instances_url: `http://${address}${INSTANCES_PATH}`,
      access_key_id: credentials.accessKeyId,
      secret_access_key: credentials.secretAccessKey,
    },
    async close() {
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    },
  };
}

function sendFailure(response: ServerResponse, error: unknown) {
  if (error instanceof StoreError) response.destroy();
  else {
    response.writeHead(500, {'content-type': 'text/plain'});
    response.end(String(error));
  }
}
