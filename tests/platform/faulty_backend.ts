import { createServer, type Server, type Socket } from "node:net";
import { EDGE_HEADERS } from "../../platform/edge_headers.ts";

/** How the end of a response is marked. */
export enum Framing {
  Length = "length",
  Chunked = "chunked",
  /** By the end of the connection alone. */
  Close = "close",
  LengthAndClose = "length-and-close",
  ChunkedAndClose = "chunked-and-close",
}

/** What is written once more after a response. */
export enum ExtraBytes {
  None = "none",
  SameResponse = "same-response",
  /** The last refusal before this response, on whatever connection. */
  EarlierRefusal = "earlier-refusal",
  InterimResponse = "interim-response",
}

/** What a faulty backend server does with one request. */
export interface ResponsePlan {
  readonly framing: Framing;
  /** Whether it runs the request; otherwise it refuses it. */
  readonly runs: boolean;
  /** Time from the request to the first byte of the response. */
  readonly workMs: number;
  /** Whether a refusal names the request. */
  readonly hasId: boolean;
  /** Share of the response after which the connection ends; 1 for none. */
  readonly cutAt: number;
  /** Whether it ends with a reset, not orderly. */
  readonly isReset: boolean;
  readonly extra: ExtraBytes;
  readonly extraDelayMs: number;
}

/** What the server meant with a request. */
export interface MeantResponse {
  readonly plan: ResponsePlan;
  readonly hasRun: boolean;
  readonly body: string;
  /** Whether all of its bytes were written. */
  readonly isWhole: boolean;
}

/**
 * A backend server that follows a plan for each request: it repeats responses,
 * breaks them off and leaves their end open.
 *
 * @example
 * ```ts ignore
 * const backend = await FaultyBackend.start(plans);
 * backend.meant.get("r1")?.hasRun;
 * ```
 */
export class FaultyBackend {
  readonly meant = new Map<string, MeantResponse>();
  readonly #plans: readonly ResponsePlan[];
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #served = 0;
  #earlierRefusal = "";

  private constructor(plans: readonly ResponsePlan[]) {
    this.#plans = plans;
    this.#server = createServer({ noDelay: true }, (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {
        // The daemon closes connections with stray bytes.
      });
      let pending = "";
      socket.on("data", (chunk) => {
        pending += chunk.toString("latin1");
        for (;;) {
          const end = pending.indexOf("\r\n\r\n");
          if (end < 0) return;
          this.#respond(socket, pending.slice(0, end));
          pending = pending.slice(end + 4);
        }
      });
    });
  }

  /**
   * Starts a server.
   *
   * @param plans One for each request; the last one holds for all later ones.
   * @returns The server.
   */
  static async start(plans: readonly ResponsePlan[]): Promise<FaultyBackend> {
    const backend = new FaultyBackend(plans);
    await new Promise<void>((resolve) =>
      backend.#server.listen(0, "127.0.0.1", resolve)
    );
    return backend;
  }

  /** IP address and port. */
  get address(): string {
    const address = this.#server.address();
    if (typeof address !== "object" || address === null) {
      throw new Error("Cannot read the address: the server does not listen");
    }
    return `127.0.0.1:${address.port}`;
  }

  /** Ends all connections and the server. */
  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #respond(socket: Socket, head: string): void {
    const id = new RegExp(`^${EDGE_HEADERS.requestId}: (.*)$`, "im").exec(head)
      ?.[1]?.trim() ?? "";
    const plan = this.#plans[Math.min(this.#served++, this.#plans.length - 1)]!;
    const body = plan.runs ? `body of ${id} ${"x".repeat(40)}` : "";
    const bytes = formatResponse(plan, id, body);
    const length = Math.min(
      bytes.length,
      Math.floor(plan.cutAt * (bytes.length + 1)),
    );
    const isWhole = length === bytes.length;
    this.meant.set(id, { plan, hasRun: plan.runs, body, isWhole });
    const write = () => this.#write(socket, plan, { bytes, length });
    if (plan.workMs === 0) write();
    else setTimeout(write, plan.workMs);
  }

  #write(
    socket: Socket,
    plan: ResponsePlan,
    response: { readonly bytes: string; readonly length: number },
  ): void {
    const { bytes, length } = response;
    const earlierRefusal = this.#earlierRefusal;
    if (!plan.runs && length === bytes.length) this.#earlierRefusal = bytes;
    socket.write(bytes.slice(0, length), "latin1");
    if (length < bytes.length) {
      return plan.isReset ? reset(socket) : end(socket);
    }
    if (isClosing(plan.framing)) return end(socket);
    const extra = {
      [ExtraBytes.None]: "",
      [ExtraBytes.SameResponse]: bytes,
      [ExtraBytes.EarlierRefusal]: earlierRefusal,
      [ExtraBytes.InterimResponse]: "HTTP/1.1 103 Early Hints\r\n\r\n",
    }[plan.extra];
    if (extra === "") return;
    if (plan.extraDelayMs === 0) socket.write(extra, "latin1");
    else setTimeout(() => socket.write(extra, "latin1"), plan.extraDelayMs);
  }
}

function isClosing(framing: Framing): boolean {
  return framing !== Framing.Length && framing !== Framing.Chunked;
}

function end(socket: Socket): void {
  socket.end();
}

function reset(socket: Socket): void {
  // Lets the bytes before it arrive.
  setTimeout(() => socket.resetAndDestroy(), 1);
}

function formatResponse(plan: ResponsePlan, id: string, body: string): string {
  const { framing, runs, hasId } = plan;
  const fields = [
    runs ? "HTTP/1.1 200 OK" : "HTTP/1.1 503 Service Unavailable",
    ...(runs || hasId ? [`${EDGE_HEADERS.requestId}: ${id}`] : []),
    runs
      ? `${EDGE_HEADERS.answerProof}: ${id}-stamp`
      : `${EDGE_HEADERS.notRun}: full`,
    ...(isClosing(framing) ? ["Connection: close"] : []),
  ];
  const head = (extra: readonly string[]) =>
    [...fields, ...extra].join("\r\n") + "\r\n\r\n";
  switch (framing) {
    case Framing.Length:
    case Framing.LengthAndClose:
      return head([`Content-Length: ${body.length}`]) + body;
    case Framing.Close:
      return head([]) + body;
    case Framing.Chunked:
    case Framing.ChunkedAndClose: {
      const chunks = (body.match(/.{1,16}/g) ?? [])
        .map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`);
      return head(["Transfer-Encoding: chunked"]) + chunks.join("") +
        "0\r\n\r\n";
    }
  }
}
