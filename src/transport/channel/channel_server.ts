import type { Buffer } from "node:buffer";
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import {
  Cancellation,
  type CancelSignal,
} from "../../protocol/cancellation.ts";
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

/**
 * Idle time after which a channel without calls is closed, in ms. Longer than
 * that of the senders, so that they close it first.
 */
const IDLE_TIMEOUT_MS = 60_000;
/**
 * Largest frame that a sender may send, in bytes. Daemons send bodies of up to
 * 16 kB over a channel, and heads that were headers of an HTTP request.
 */
const MAX_CALL_FRAME_BYTES = 256 * 1024;

/** A call that another daemon sent. */
export interface ReceivedCall {
  readonly head: string;
  readonly body: Buffer;
  /** IP address of the sender. */
  readonly peer: string;
  /** Aborts when the sender cancels the call or closes the channel. */
  readonly signal: CancelSignal;
  /** Whether it was in the channel's first read, so may have waited unread. */
  readonly isFromFirstRead: boolean;
  /** Sends the result. */
  readonly answer: (head: string, body?: Buffer) => void;
}

/** Optional settings of a {@linkcode ChannelServer}. */
export interface ChannelServerOptions {
  /** Idle timeout of a channel without calls, in ms. @default {60_000} */
  idleMs?: number;
}

/**
 * Serves the channels of other daemons on an HTTP server's port.
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
   * Handles the upgrade requests of a server.
   *
   * @param server The server.
   * @param onCall Handles a call.
   * @param options Idle timeout.
   */
  constructor(
    server: Server,
    onCall: (call: ReceivedCall) => void,
    options: ChannelServerOptions = {},
  ) {
    this.#onCall = onCall;
    this.#idleMs = options.idleMs ?? IDLE_TIMEOUT_MS;
    server.on("upgrade", (request: IncomingMessage, socket: Socket, head) => {
      if (request.headers.upgrade !== CHANNEL_PROTOCOL) {
        socket.destroy();
        return;
      }
      this.#openChannel(socket, head);
    });
  }

  /** Closes all channels. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  #openChannel(socket: Socket, head: Buffer): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    const channel = new ServedChannel(socket, this.#onCall);
    socket.on("data", (chunk: Buffer) => channel.read(chunk));
    // Also closes the channel of a peer that vanished without closing it.
    socket.setTimeout(this.#idleMs, () => {
      if (channel.isIdle) socket.destroy();
    });
    // A sender that has closed its side no longer waits for results.
    socket.once("end", () => socket.destroy());
    socket.on("error", () => {
      // The "close" event that follows aborts the calls.
    });
    socket.once("close", () => {
      this.#sockets.delete(socket);
      channel.onClose();
    });
    socket.write(CHANNEL_UPGRADE_RESPONSE);
    if (head.length > 0) channel.read(head);
  }
}

/** Serves the calls of one channel. */
class ServedChannel {
  readonly #socket: Socket;
  readonly #onCall: (call: ReceivedCall) => void;
  readonly #reader = new FrameReader(MAX_CALL_FRAME_BYTES);
  readonly #calls = new Map<number, Cancellation>();
  #hasReadCall = false;

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
      // Not this protocol: nothing on the connection can be trusted.
      this.#socket.destroy();
      return;
    }
    // Starts calls after all frames are read, as a later one may cancel them.
    const cancelled = new Set<number>();
    for (const { kind, call } of frames) {
      if (kind !== FrameKind.Cancel) continue;
      cancelled.add(call);
      this.#calls.get(call)?.abort();
    }
    for (const frame of frames) this.#handleFrame(frame, cancelled);
    this.#hasReadCall ||= frames.some(({ kind }) => kind === FrameKind.Call);
  }

  onClose(): void {
    for (const call of this.#calls.values()) call.abort();
    this.#calls.clear();
  }

  #handleFrame(frame: Frame, cancelled: ReadonlySet<number>): void {
    switch (frame.kind) {
      case FrameKind.Call:
        if (!cancelled.has(frame.call)) this.#startCall(frame);
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

  #startCall({ call, head, body }: Frame): void {
    const cancel = new Cancellation();
    this.#calls.set(call, cancel);
    this.#onCall({
      head,
      body,
      peer: this.#socket.remoteAddress ?? "",
      signal: cancel.signal,
      isFromFirstRead: !this.#hasReadCall,
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
