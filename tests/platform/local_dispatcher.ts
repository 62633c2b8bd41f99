import { EDGE_HEADERS } from "../../platform/edge_headers.ts";
import { BackendState, RequestKind } from "../../src/protocol/mesh.ts";
import type { MeshCall } from "../../src/protocol/mesh_call.ts";
import { BackendDispatcher } from "../../src/sidecar/backend_dispatcher.ts";
import { RequestQuarantine } from "../../src/sidecar/request_quarantine.ts";
import { LocalBackend } from "../../src/state/local_backend.ts";
import { EventLog } from "../../src/transport/observe/event_log.ts";
import { TextMetrics } from "../../src/transport/observe/text_metrics.ts";

/** Id of the backend process behind the dispatcher. */
export const BACKEND_ID = "i-1";

const LOG = new EventLog({ sink: { write: () => {}, close: () => {} } });

/** Creates a quarantine without suspects. */
export function createQuarantine(): RequestQuarantine {
  return new RequestQuarantine({
    instance: "instance-0",
    log: LOG,
    metrics: new TextMetrics(),
    onReport: () => {},
  });
}

/**
 * Creates a dispatcher that is connected to a backend server.
 *
 * @param address IP address and port of the backend server.
 * @param quarantine Suspects; none by default.
 * @param slots Number of slots; one by default.
 * @returns The dispatcher.
 */
export function createDispatcher(
  address: string,
  quarantine = createQuarantine(),
  slots = 1,
): BackendDispatcher {
  const announcement = {
    id: BACKEND_ID,
    service: "stock",
    address,
    slots,
    state: BackendState.Ready,
    sequence: 1,
    bornAtUnixMs: 1,
  };
  const backend = new LocalBackend();
  backend.applyAnnouncement(announcement);
  const dispatcher = new BackendDispatcher({
    backend,
    quarantine,
    headers: EDGE_HEADERS,
    stalls: { hasStalled: false },
    log: LOG,
    metrics: new TextMetrics(),
    onLeaving: () => {},
  });
  dispatcher.connect(announcement);
  return dispatcher;
}

/**
 * Creates a request for that backend server.
 *
 * @param id Id of the request.
 * @param options Its kind and the time until its deadline, in ms.
 * @returns The request.
 */
export function createCall(
  id: string,
  options: { readonly kind: RequestKind; readonly timeoutMs: number },
): MeshCall {
  const deadlineMs = performance.now() + options.timeoutMs;
  return {
    id,
    method: options.kind === RequestKind.Idempotent ? "GET" : "POST",
    path: "/stock/1",
    headers: ["host", "shop.example", EDGE_HEADERS.requestId, id],
    body: undefined,
    route: "stock",
    kind: options.kind,
    priority: 0,
    callerService: "shop",
    service: "stock",
    backendId: BACKEND_ID,
    deadlineMs,
    objectiveAtMs: deadlineMs,
  };
}
