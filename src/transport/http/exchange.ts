import type { Dispatcher } from "undici";
import type { AnswerHead, CallBody, Execution } from "../../protocol/call.ts";
import { isHttpStatus } from "../../protocol/response_status.ts";

/** A request to send over a connection of a pool. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: CallBody;
}

/** Receives the events of an exchange. */
export interface ExchangeEvents {
  onHead(head: AnswerHead): void;
  /** Returns `false` to pause the response. */
  onData(chunk: Uint8Array): boolean;
  onEnd(): void;
  /**
   * Called when the exchange fails.
   *
   * @param error The failure.
   * @param sent Whether the request may have reached the peer.
   */
  onError(error: Error, sent: boolean): void;
}

/**
 * One HTTP exchange over a pool, as a handler of undici's `dispatch`.
 *
 * @example
 * ```ts ignore
 * const exchange = Exchange.send(pool, request, events);
 * exchange.cancel();
 * ```
 */
export class Exchange implements Dispatcher.DispatchHandler, Execution {
  readonly #events: ExchangeEvents;
  #controller: Dispatcher.DispatchController | undefined;
  #hasEnded = false;
  #isCancelled = false;

  private constructor(events: ExchangeEvents) {
    this.#events = events;
  }

  /**
   * Sends a request.
   *
   * @param pool Connections to the peer.
   * @param request The request.
   * @param events Receives the response.
   * @returns The exchange.
   */
  static send(
    pool: Dispatcher,
    request: ExchangeRequest,
    events: ExchangeEvents,
  ): Exchange {
    const exchange = new Exchange(events);
    pool.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers as string[],
      body: bodyOf(request.body),
    }, exchange);
    return exchange;
  }

  cancel(): void {
    if (this.#hasEnded) return;
    this.#isCancelled = true;
    this.#controller?.abort(new Error("cancelled"));
  }

  resume(): void {
    this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isCancelled) controller.abort(new Error("cancelled"));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (!isHttpStatus(status)) {
      return controller.abort(
        new Error(`Cannot read the response: status ${status} is invalid`),
      );
    }
    if (status < 200) return;
    this.#events.onHead({ status, headers });
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    if (!this.#events.onData(chunk)) controller.pause();
  }

  onResponseEnd(): void {
    this.#hasEnded = true;
    this.#events.onEnd();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#events.onError(error, this.#controller !== undefined);
  }
}

function bodyOf(body: CallBody) {
  switch (body.kind) {
    case "none":
      return null;
    case "buffered":
      return body.bytes;
    case "stream":
      return body.stream;
  }
}
