import {
  LinkQueue,
  type LinkReservation,
  type LinkUser,
} from "./link_queue.ts";
import { ResponseSizes } from "./response_sizes.ts";
import { ServiceTimes } from "./service_times.ts";
import { needsTransferPermit } from "./transfer_limiter.ts";

/**
 * Share of the bandwidth for large responses, so that the link's own queue
 * stays short and small responses pass at once. At 0.9, headers and small
 * responses filled the link: new connections took over 400 ms.
 */
const LARGE_RESPONSE_SHARE = 0.7;
/** Size of the pieces in which a large response is sent, in bytes. */
const PIECE_BYTES = 16 * 1024;
/** Lag of a timer behind the plan that is caught up with, in ms. */
const MAX_LAG_MS = 20;
const BYTES_PER_MBPS_MS = 125;

/** A large response that waits for the link or is being sent. */
export interface Transfer extends LinkUser {
  readonly bytes: number;
}

/** A request whose response may be large. */
export interface LinkRequest extends LinkUser {
  /** Name of its route. */
  readonly route: string;
}

/** A piece of a response that may be sent now. */
export interface TransferPiece<T extends Transfer> {
  readonly transfer: T;
  readonly start: number;
  readonly end: number;
}

/**
 * Plans the large responses that one instance sends over a slow link.
 *
 * They are sent one after the other, in pieces at a little less than the
 * bandwidth: a link that is full of whole responses would make each small
 * response, and each new connection, wait behind all of them. Their order is
 * that of {@linkcode LinkQueue}: without organisations, more urgent ones go
 * first, then those with the earlier objective.
 *
 * @example
 * ```ts
 * const link = new LinkSchedule<Transfer>(12);
 * link.record("media", { bytes: 90_000, serviceMs: 200 });
 * link.isLong("media"); // true
 * ```
 */
export class LinkSchedule<T extends Transfer> {
  readonly #sizes = new ResponseSizes();
  readonly #serviceTimes = new ServiceTimes();
  readonly #linkMbps: number;
  readonly #bytesPerMs: number;
  readonly #queue: LinkQueue<T>;
  #current: { readonly transfer: T; sentBytes: number } | undefined;
  /** Monotonic time from which the next piece may be sent. */
  #nextPieceAtMs = -Infinity;

  /**
   * Creates a plan without responses.
   *
   * @param linkMbps Bandwidth of the link, in Mbit/s; 0 if unknown.
   */
  constructor(linkMbps: number) {
    this.#linkMbps = linkMbps;
    this.#bytesPerMs = linkMbps * BYTES_PER_MBPS_MS * LARGE_RESPONSE_SHARE;
    this.#queue = new LinkQueue(this.#bytesPerMs);
  }

  /** Number of responses that wait or are being sent. */
  get pending(): number {
    return this.#queue.waiting + (this.#current === undefined ? 0 : 1);
  }

  /** Number of reservations that have not ended. */
  get reserved(): number {
    return this.#queue.size - this.#queue.waiting;
  }

  /**
   * Records a served request.
   *
   * @param route Name of its route.
   * @param response Size of its response in bytes, and its service time in ms.
   */
  record(
    route: string,
    response: { readonly bytes: number; readonly serviceMs: number },
  ): void {
    this.#sizes.record(route, response.bytes);
    this.#serviceTimes.record(route, response.serviceMs);
  }

  /**
   * Returns whether a response of a size has to be planned.
   *
   * @param bytes The size, in bytes.
   * @returns Whether it occupies the link for long.
   */
  isLarge(bytes: number): boolean {
    return needsTransferPermit(bytes, this.#linkMbps);
  }

  /**
   * Returns whether the responses of a route have to be planned.
   *
   * @param route Name of the route.
   * @returns Whether they occupy the link for long on average.
   */
  isLong(route: string): boolean {
    return this.isLarge(this.#sizes.expectedBytes(route));
  }

  /**
   * Records that a request has arrived that is about to be admitted or refused.
   *
   * @param request The request.
   * @param nowMs Monotonic time, in ms.
   */
  recordOffer(request: LinkRequest, nowMs: number): void {
    if (this.isLong(request.route)) this.#queue.recordOffer(request, nowMs);
  }

  /**
   * Records that a request was refused because of its estimate.
   *
   * @param nowMs Monotonic time, in ms.
   */
  recordRefusal(nowMs: number): void {
    this.#queue.recordRefusal(nowMs);
  }

  /**
   * Returns how long the response of a request that starts now would wait for
   * the link after its work, and when it would have been sent.
   *
   * @param request The request.
   * @param nowMs Monotonic time, in ms.
   * @returns Both times from now, in ms; 0 for a route with short responses.
   */
  estimate(
    request: LinkRequest,
    nowMs: number,
  ): { readonly waitMs: number; readonly sentMs: number } {
    const { route } = request;
    if (!this.isLong(route)) return { waitMs: 0, sentMs: 0 };
    const ownBytes = this.#sizes.expectedBytes(route);
    const backlog = this.#queue.backlogBefore(request, ownBytes, nowMs);
    const bytes = backlog.bytes + this.#sendingBytes;
    const inOrderMs = bytes / this.#bytesPerMs;
    // The link sends other responses while the request runs.
    const serviceMs = this.#serviceTimes.expectedMs(route);
    const waitMs = Math.max(0, Math.max(inOrderMs, backlog.turnMs) - serviceMs);
    const transferMs = ownBytes / this.#bytesPerMs;
    return { waitMs, sentMs: serviceMs + waitMs + transferMs };
  }

  /**
   * Reserves the link for the response of a request that starts.
   *
   * @param request The request.
   * @param nowMs Monotonic time, in ms.
   * @returns The reservation; `undefined` for a route with short responses.
   */
  reserve(request: LinkRequest, nowMs: number): LinkReservation | undefined {
    const { route } = request;
    if (!this.isLong(route)) return undefined;
    const bytes = this.#sizes.expectedBytes(route);
    return this.#queue.reserve(request, bytes, nowMs);
  }

  /**
   * Counts the expected bytes of a reservation no longer, as the request has
   * ended. It keeps its place for the response.
   *
   * @param reservation The reservation, if there was one.
   */
  settle(reservation: LinkReservation | undefined): void {
    if (reservation !== undefined) this.#queue.settle(reservation);
  }

  /**
   * Ends a reservation, as the request has ended without a large response.
   *
   * @param reservation The reservation, if there was one.
   */
  release(reservation: LinkReservation | undefined): void {
    if (reservation !== undefined) this.#queue.release(reservation);
  }

  /**
   * Adds a large response. It is sent in any case, as its work is done.
   *
   * @param transfer The response.
   * @param nowMs Monotonic time, in ms.
   * @param reservation Its reservation, which ends, if there was one.
   */
  add(transfer: T, nowMs: number, reservation?: LinkReservation): void {
    const { bytes } = transfer;
    this.#queue.add(transfer, { user: transfer, bytes, nowMs, reservation });
  }

  /**
   * Removes a response whose receiver has left.
   *
   * @param transfer The response.
   */
  remove(transfer: T): void {
    this.#queue.remove(transfer);
    if (this.#current?.transfer === transfer) this.#current = undefined;
  }

  /**
   * Takes the next piece that may be sent.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The piece; `undefined` if there is none now.
   */
  takePiece(nowMs: number): TransferPiece<T> | undefined {
    if (nowMs < this.#nextPieceAtMs) return undefined;
    this.#current ??= this.#startNext(nowMs);
    if (this.#current === undefined) return undefined;
    const { transfer, sentBytes } = this.#current;
    const end = Math.min(transfer.bytes, sentBytes + PIECE_BYTES);
    if (end === transfer.bytes) this.#current = undefined;
    else this.#current.sentBytes = end;
    const hasLagged = nowMs - this.#nextPieceAtMs > MAX_LAG_MS;
    const plannedAtMs = hasLagged ? nowMs : this.#nextPieceAtMs;
    this.#nextPieceAtMs = plannedAtMs + (end - sentBytes) / this.#bytesPerMs;
    return { transfer, start: sentBytes, end };
  }

  /**
   * Returns when the next piece may be sent.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The time from now, in ms; `undefined` if no response is left.
   */
  nextPieceMs(nowMs: number): number | undefined {
    if (this.pending === 0) return undefined;
    return Math.max(0, this.#nextPieceAtMs - nowMs);
  }

  /** Bytes that are left of the response that is being sent. */
  get #sendingBytes(): number {
    if (this.#current === undefined) return 0;
    return this.#current.transfer.bytes - this.#current.sentBytes;
  }

  #startNext(
    nowMs: number,
  ): { readonly transfer: T; sentBytes: number } | undefined {
    const transfer = this.#queue.takeNext(nowMs);
    return transfer === undefined ? undefined : { transfer, sentBytes: 0 };
  }
}
