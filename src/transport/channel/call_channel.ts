import type { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import {
  encodeFrame,
  type Frame,
  FrameKind,
  FrameReader,
} from "../../protocol/call_frame.ts";
import {
  CHANNEL_UPGRADE_REQUEST,
  ChannelHandshake,
} from "./channel_handshake.ts";

/** Time within which a connection must be open, in ms. */
const CONNECT_TIMEOUT_MS = 600;
/** Time after which a channel without calls is closed, in ms. */
const IDLE_MS = 30_000;
/** Numbers of calls and pings start anew here. */
const MAX_CALL = 0xffffffff;

/** What came of a call. */
export type ChannelResult =
  | { readonly kind: "result"; readonly head: string; readonly body: Buffer }
  | {
    readonly kind: "failed";
    /** Whether the call may have reached the other daemon. */
    readonly sent: boolean;
  };

/** A call to send. */
export interface ChannelCall {
  readonly head: string;
  readonly body: Buffer | undefined;
}

/**
 * A connection to another daemon that carries many calls at a time.
 *
 * It costs a call neither a connection nor a parser, and one sign of life
 * speaks for all of its calls.
 *
 * @example
 * ```ts ignore
 * const channel = new CallChannel("10.0.0.1:7600");
 * const result = await channel.send({ head, body: undefined }, signal);
 * ```
 */
export class CallChannel {
  readonly #socket: Socket;
  readonly #opening = new ChannelHandshake();
  readonly #reader = new FrameReader();
  readonly #calls = new Map<number, (result: ChannelResult) => void>();
  readonly #pings = new Map<number, (isAlive: boolean) => void>();
  #lastCall = 0;
  #lastPing = 0;
  #isConnected = false;
  #isRetired = false;

  /**
   * Opens a channel; calls may be sent at once.
   *
   * @param address IP address and port of the other daemon.
   */
  constructor(address: string) {
    const portAt = address.lastIndexOf(":");
    const socket = connect({
      host: address.slice(0, portAt),
      port: Number(address.slice(portAt + 1)),
      noDelay: true,
    });
    this.#socket = socket;
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
      clearTimeout(timer);
      this.#isConnected = true;
    });
    socket.on("data", (chunk: Buffer) => this.#read(chunk));
    socket.on("error", () => {
      // The end of the channel, which follows, tells its calls.
    });
    socket.once("close", () => {
      clearTimeout(timer);
      this.#closed();
    });
    socket.setTimeout(IDLE_MS, () => {
      if (this.#calls.size === 0) this.close();
    });
    socket.write(CHANNEL_UPGRADE_REQUEST);
  }

  /** Whether further calls may be sent. */
  get isUsable(): boolean {
    return !this.#isRetired && !this.#socket.destroyed;
  }

  /**
   * Sends a call and waits for its result.
   *
   * @param call The call.
   * @param signal Ends it; the other daemon is told.
   * @returns The result; never rejects.
   */
  send(call: ChannelCall, signal: AbortSignal): Promise<ChannelResult> {
    if (this.#socket.destroyed) {
      return Promise.resolve({ kind: "failed", sent: false });
    }
    const number = this.#lastCall = this.#lastCall % MAX_CALL + 1;
    return new Promise((resolve) => {
      const onAbort = () => {
        this.#calls.delete(number);
        this.#socket.write(encodeFrame(FrameKind.Cancel, number));
        this.#closeIfDone();
        resolve({ kind: "failed", sent: true });
      };
      this.#calls.set(number, (result) => {
        signal.removeEventListener("abort", onAbort);
        resolve(result);
      });
      signal.addEventListener("abort", onAbort, { once: true });
      this.#socket.write(encodeFrame(FrameKind.Call, number, call));
    });
  }

  /**
   * Asks for a sign of life.
   *
   * @param timeoutMs Time in which it must come.
   * @returns Whether it came: then all calls that were sent before have been
   * read, and those without a result are open.
   */
  ping(timeoutMs: number): Promise<boolean> {
    if (this.#socket.destroyed) return Promise.resolve(false);
    const number = this.#lastPing = this.#lastPing % MAX_CALL + 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#pings.delete(number);
        resolve(false);
      }, timeoutMs);
      this.#pings.set(number, (isAlive) => {
        clearTimeout(timer);
        resolve(isAlive);
      });
      this.#socket.write(encodeFrame(FrameKind.Ping, number));
    });
  }

  /** Takes no further calls; closes once those on their way have ended. */
  drain(): void {
    this.#isRetired = true;
    this.#closeIfDone();
  }

  /** Closes it; calls on their way fail. */
  close(): void {
    this.#socket.destroy();
  }

  #read(chunk: Buffer): void {
    try {
      const bytes = this.#opening.isDone ? chunk : this.#opening.push(chunk);
      if (bytes === undefined) return;
      for (const frame of this.#reader.push(bytes)) this.#take(frame);
    } catch {
      // No frames of this protocol: nothing on this connection can be trusted.
      this.#socket.destroy();
    }
  }

  #take(frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.Result: {
        const settle = this.#calls.get(frame.call);
        this.#calls.delete(frame.call);
        settle?.({ kind: "result", head: frame.head, body: frame.body });
        this.#closeIfDone();
        return;
      }
      case FrameKind.Pong:
        this.#pings.get(frame.call)?.(true);
        this.#pings.delete(frame.call);
        return;
      case FrameKind.Call:
      case FrameKind.Cancel:
      case FrameKind.Ping:
        this.#socket.destroy();
    }
  }

  #closeIfDone(): void {
    if (this.#isRetired && this.#calls.size === 0) this.#socket.destroy();
  }

  #closed(): void {
    for (const settle of this.#calls.values()) {
      settle({ kind: "failed", sent: this.#isConnected });
    }
    this.#calls.clear();
    for (const settle of this.#pings.values()) settle(false);
    this.#pings.clear();
  }
}
