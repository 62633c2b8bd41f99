import { Agent, type AgentOptions } from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";
import type { SocketMeter } from "../observe/socket_meter.ts";

/** Signature of the method with which an agent opens connections. */
type CreateConnection = Agent["createConnection"];

/**
 * An HTTP agent that counts the bytes of its connections.
 *
 * @example
 * ```ts ignore
 * const agent = new MeteredAgent({ keepAlive: true }, meter);
 * ```
 */
export class MeteredAgent extends Agent {
  readonly #meter: SocketMeter;

  /**
   * Creates an agent.
   *
   * @param options Options of Node's agent.
   * @param meter Counts the bytes of the connections.
   */
  constructor(options: AgentOptions, meter: SocketMeter) {
    super(options);
    this.#meter = meter;
  }

  override createConnection(
    ...args: Parameters<CreateConnection>
  ): ReturnType<CreateConnection> {
    const socket = super.createConnection(...args) as Duplex;
    this.#meter.track(socket as Socket);
    return socket;
  }
}
