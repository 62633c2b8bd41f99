import type { Buffer } from "node:buffer";
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import {
  encodeFrame,
  type Frame,
  FrameKind,
  FrameReader,
} from "../../protocol/call_frame.ts";
import {
  CHANNEL_PROTOCOL,
  CHANNEL_UPGRADE_RESPONSE,
} from "./channel_handshake.ts";

/** Time after which a channel without calls is closed; senders are sooner. */
const IDLE_MS = 60_000;

/** A call that another daemon sent. */
export interface ReceivedCall {
  readonly head: string;
  readonly body: Buffer;
  /** IP address of the sender. */
  readonly peer: string;
  /** Aborts as the sender no longer waits for it. */
  readonly signal: AbortSignal;
  /** Whether it may have waited unread since its channel was opened. */
  readonly isFromFirstRead: boolean;
  /** Sends its result. */
  readonly answer: (head: string, body?: Buffer) => void;
}

/** Optional settings of a {@linkcode ChannelServer}. */
export interface ChannelServerOptions {
  /** Time after which a channel without calls is closed. @default {60_000} */
  idleMs?: number;
}

/**
 * Takes the calls of other daemons' channels on a server's port.
 *
 * @example
 * ```ts ignore
 * const channels = new ChannelServer(server, (call) => call.answer("done"));
 * ```
 */
export class ChannelServer {
  readonly #sockets = new Set<Socket>();
  readonly #onCall: (call: ReceivedCall) => void;
  readonly #idleMs: number;

  /**
   * Takes the upgrades of a server.
   *
   * @param server The server.
   * @param onCall Takes in a call.
   * @param options What differs from the defaults.
   */
  constructor(
    server: Server,
    onCall: (call: ReceivedCall) => void,
    options: ChannelServerOptions = {},
  ) {
    this.#onCall = onCall;
    this.#idleMs = options.idleMs ?? IDLE_MS;
    server.on("upgrade", (request: IncomingMessage, socket: Socket, head) => {
      if (request.headers.upgrade !== CHANNEL_PROTOCOL) {
        socket.destroy();
        return;
      }
      this.#open(socket, head);
    });
  }

  /** Closes all channels. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  #open(socket: Socket, head: Buffer): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    const channel = new ServedChannel(socket, this.#onCall);
    socket.on("data", (chunk: Buffer) => channel.read(chunk));
    // Also for a peer that vanished without a word.
    socket.setTimeout(this.#idleMs, () => {
      if (channel.isIdle) socket.destroy();
    });
    // A sender that has ended waits for no results.
    socket.once("end", () => socket.destroy());
    socket.on("error", () => {
      // The end of the channel, which follows, ends its calls.
    });
    socket.once("close", () => {
      this.#sockets.delete(socket);
      channel.closed();
    });
    socket.write(CHANNEL_UPGRADE_RESPONSE);
    if (head.length > 0) channel.read(head);
  }
}

/** The calls of one channel. */
class ServedChannel {
  readonly #socket: Socket;
  readonly #onCall: (call: ReceivedCall) => void;
  readonly #reader = new FrameReader();
  readonly #calls = new Map<number, AbortController>();
  #hasCalled = false;

  constructor(socket: Socket, onCall: (call: ReceivedCall) => void) {
    this.#socket = socket;
    this.#onCall = onCall;
  }

  /** Whether no call is open. */
  get isIdle(): boolean {
    return this.#calls.size === 0;
  }

  read(chunk: Buffer): void {
    let frames: readonly Frame[];
    try {
      frames = this.#reader.push(chunk);
    } catch {
      // No frames of this protocol: nothing on this connection can be trusted.
      this.#socket.destroy();
      return;
    }
    // Calls start once all is read, as a cancellation may lie behind them.
    const cancelled = new Set<number>();
    for (const { kind, call } of frames) {
      if (kind !== FrameKind.Cancel) continue;
      cancelled.add(call);
      this.#calls.get(call)?.abort();
    }
    for (const frame of frames) this.#take(frame, cancelled);
    this.#hasCalled ||= frames.some(({ kind }) => kind === FrameKind.Call);
  }

  closed(): void {
    for (const call of this.#calls.values()) call.abort();
    this.#calls.clear();
  }

  #take(frame: Frame, cancelled: ReadonlySet<number>): void {
    switch (frame.kind) {
      case FrameKind.Call:
        if (!cancelled.has(frame.call)) this.#start(frame);
        return;
      case FrameKind.Ping:
        this.#socket.write(encodeFrame(FrameKind.Pong, frame.call));
        return;
      case FrameKind.Cancel:
        return;
      case FrameKind.Result:
      case FrameKind.Pong:
        this.#socket.destroy();
    }
  }

  #start({ call, head, body }: Frame): void {
    const cancel = new AbortController();
    this.#calls.set(call, cancel);
    this.#onCall({
      head,
      body,
      peer: this.#socket.remoteAddress ?? "",
      signal: cancel.signal,
      isFromFirstRead: !this.#hasCalled,
      answer: (resultHead, resultBody) => {
        if (!this.#calls.delete(call) || cancel.signal.aborted) return;
        this.#socket.write(
          encodeFrame(FrameKind.Result, call, {
            head: resultHead,
            body: resultBody,
          }),
        );
      },
    });
  }
}
