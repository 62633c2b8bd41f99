import type { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import type { CancelSignal } from "../../protocol/cancellation.ts";
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

/** Connect timeout, in ms. */
const CONNECT_TIMEOUT_MS = 600;
/** Idle time after which a channel without calls is closed, in ms. */
const IDLE_TIMEOUT_MS = 30_000;
/** Largest id of a call or ping; the next one is 1 again. */
const MAX_ID = 0xffffffff;

/** Result of a call. */
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
 * A connection to another daemon that multiplexes calls.
 *
 * A call needs no connection and no HTTP parser of its own, and one ping checks
 * all calls of the channel.
 *
 * @example
 * ```ts ignore
 * const channel = new CallChannel("10.0.0.1:7600");
 * const result = await channel.send({ head, body: undefined }, signal);
 * ```
 */
export class CallChannel {
  readonly #socket: Socket;
  readonly #handshake = new ChannelHandshake();
  readonly #reader = new FrameReader();
  readonly #calls = new Map<number, (result: ChannelResult) => void>();
  readonly #pings = new Map<number, (isAlive: boolean) => void>();
  #lastCallId = 0;
  #lastPingId = 0;
  #isConnected = false;
  #isDraining = false;

  /**
   * Opens a channel; calls may be sent immediately.
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
      // The "close" event that follows fails the calls.
    });
    socket.once("close", () => {
      clearTimeout(timer);
      this.#onClose();
    });
    socket.setTimeout(IDLE_TIMEOUT_MS, () => {
      if (this.#calls.size === 0) this.close();
    });
    socket.write(CHANNEL_UPGRADE_REQUEST);
  }

  /** Whether new calls may be sent. */
  get isUsable(): boolean {
    return !this.#isDraining && !this.#socket.destroyed;
  }

  /**
   * Sends a call and waits for its result.
   *
   * @param call The call.
   * @param signal Cancels the call, also on the other daemon.
   * @returns The result; never rejects.
   */
  send(call: ChannelCall, signal: CancelSignal): Promise<ChannelResult> {
    if (this.#socket.destroyed) {
      return Promise.resolve({ kind: "failed", sent: false });
    }
    const id = this.#lastCallId = this.#lastCallId % MAX_ID + 1;
    return new Promise((resolve) => {
      const onAbort = () => {
        this.#calls.delete(id);
        this.#socket.write(encodeFrame(FrameKind.Cancel, id));
        this.#closeIfDone();
        resolve({ kind: "failed", sent: true });
      };
      this.#calls.set(id, (result) => {
        signal.removeEventListener("abort", onAbort);
        resolve(result);
      });
      signal.addEventListener("abort", onAbort, { once: true });
      this.#socket.write(encodeFrame(FrameKind.Call, id, call));
    });
  }

  /**
   * Pings the other daemon.
   *
   * @param timeoutMs Time limit for the pong, in ms.
   * @returns Whether the pong arrived. If so, the other daemon has read all
   * calls that were sent before, and those without a result are still open.
   */
  ping(timeoutMs: number): Promise<boolean> {
    if (this.#socket.destroyed) return Promise.resolve(false);
    const id = this.#lastPingId = this.#lastPingId % MAX_ID + 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#pings.delete(id);
        resolve(false);
      }, timeoutMs);
      this.#pings.set(id, (isAlive) => {
        clearTimeout(timer);
        resolve(isAlive);
      });
      this.#socket.write(encodeFrame(FrameKind.Ping, id));
    });
  }

  /** Refuses new calls and closes the channel once open calls have ended. */
  drain(): void {
    this.#isDraining = true;
    this.#closeIfDone();
  }

  /** Closes the channel; open calls fail. */
  close(): void {
    this.#socket.destroy();
  }

  #read(chunk: Buffer): void {
    try {
      const bytes = this.#handshake.isDone
        ? chunk
        : this.#handshake.push(chunk);
      if (bytes === undefined) return;
      for (const frame of this.#reader.push(bytes)) this.#handleFrame(frame);
    } catch {
      // Not this protocol: nothing on the connection can be trusted.
      this.#socket.destroy();
    }
  }

  #handleFrame(frame: Frame): void {
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
    if (this.#isDraining && this.#calls.size === 0) this.#socket.destroy();
  }

  #onClose(): void {
    for (const settle of this.#calls.values()) {
      settle({ kind: "failed", sent: this.#isConnected });
    }
    this.#calls.clear();
    for (const settle of this.#pings.values()) settle(false);
    this.#pings.clear();
  }
}
