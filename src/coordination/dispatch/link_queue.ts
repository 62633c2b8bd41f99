import {
  type AcceptedRequest,
  type FairPosition,
  type FairRequest,
  FairShares,
} from "./fair_share.ts";
import { type QueuedTransfer, TransferQueue } from "./transfer_queue.ts";
import { VirtualProgress } from "./virtual_progress.ts";

/**
 * Time for which capacity counts as short after a refusal, in ms. A full backlog
 * takes as long.
 */
const SHORT_HOLD_MS = 2_000;
/**
 * Factor on the expected time until the turn of an organisation with a backlog.
 * Of requests that are admitted up to the limit, about half would be late.
 */
const TURN_MARGIN = 1.5;
/**
 * The virtual time passes several times more slowly than the bandwidth says, so
 * that the bandwidth counts little, and turns are up to some seconds away.
 */
const PROGRESS = { decayMs: 3_000, priorMs: 50 };

const NO_SHARE: FairPosition = { surplusMs: 0, factor: 1, settles: 0 };

/** A request or response as far as its place on the link is concerned. */
export interface LinkUser extends FairRequest {
  /** Rank of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time until which it meets its latency objective. */
  readonly objectiveAtMs: number;
  /** Whether a running request probably waits for it. */
  readonly isSubcall?: boolean | undefined;
}

/** Expected use of the link by a request that has no response yet. */
export interface LinkReservation {
  readonly bytes: number;
  readonly priority: number;
}

/** What goes over the link before the response of a new request. */
export interface LinkBacklog {
  /** Bytes of the responses that would go before it, if no more came. */
  readonly bytes: number;
  /** Expected time until its organisation's turn, in ms. */
  readonly turnMs: number;
}

/** A place on the link, reserved for a response or held by one that waits. */
class Place<T> implements QueuedTransfer, LinkReservation {
  readonly #user: LinkUser;
  readonly accepted: AcceptedRequest | undefined;
  readonly #factor: number;
  readonly isOwed: boolean;
  bytes: number;
  response: T | undefined;
  /** Whether it was given up without a response. */
  isReleased = false;
  /** Whether its organisation had no backlog. */
  isFirst = false;

  constructor(
    user: LinkUser,
    bytes: number,
    accepted: AcceptedRequest | undefined,
  ) {
    const { factor, settles } = accepted?.position ?? NO_SHARE;
    this.#user = user;
    this.#factor = factor;
    this.bytes = bytes;
    this.accepted = accepted;
    this.isOwed = settles >= 1;
  }

  get costBytes(): number {
    return this.bytes * this.#factor;
  }

  get organisation(): string | undefined {
    return this.#user.organisation;
  }

  get organisationPriority(): number | undefined {
    return this.#user.organisationPriority;
  }

  get objectiveAtMs(): number {
    return this.#user.objectiveAtMs;
  }

  get priority(): number {
    return this.#user.priority;
  }

  get isSubcall(): boolean {
    return this.#user.isSubcall === true;
  }
}

/** Places of one rank of routes. */
interface Rank<T> {
  readonly places: TransferQueue<Place<T>>;
  readonly progress: VirtualProgress;
  /** Responses that wait. */
  ready: number;
}

/**
 * Orders the large responses of one instance: by the rank of the route, then so
 * that the organisations with a backlog get equal numbers of bytes, a fourth for
 * each step of their rank, and those of one organisation by their objectives.
 *
 * A response has its place from the start of its request. An organisation that
 * is served less than a quarter as often as all is owed some places, which count
 * as those of an organisation without a backlog.
 *
 * @example
 * ```ts
 * const queue = new LinkQueue<string>(1_050);
 * const user = { priority: 2, objectiveAtMs: 2_000, organisation: "a" };
 * const reservation = queue.reserve(user, 90_000, 0);
 * queue.add("response", { user, bytes: 88_000, nowMs: 230, reservation });
 * queue.takeNext(240); // "response"
 * ```
 */
export class LinkQueue<T> {
  readonly #bytesPerMs: number;
  readonly #ranks = new Map<number, Rank<T>>();
  readonly #shares = new FairShares();
  #ready = 0;
  /** Monotonic time until which capacity counts as short. */
  #shortUntilMs = -Infinity;

  /**
   * Creates an empty queue.
   *
   * @param bytesPerMs Bytes of large responses that the link carries per ms.
   */
  constructor(bytesPerMs: number) {
    this.#bytesPerMs = bytesPerMs;
  }

  /** Number of responses that wait. */
  get waiting(): number {
    return this.#ready;
  }

  /** Number of places: reservations, and responses that wait. */
  get size(): number {
    let size = 0;
    for (const { places } of this.#ranks.values()) size += places.size;
    return size;
  }

  /**
   * Records that a request with a large response has arrived.
   *
   * @param user The request.
   * @param nowMs Monotonic time, in ms.
   */
  recordOffer({ organisation }: LinkUser, nowMs: number): void {
    if (organisation === undefined) return;
    this.#shares.recordOffer(organisation, nowMs);
  }

  /**
   * Records that a request was refused, as the link could not serve it.
   *
   * @param nowMs Monotonic time, in ms.
   */
  recordRefusal(nowMs: number): void {
    this.#shortUntilMs = nowMs + SHORT_HOLD_MS;
  }

  /**
   * Returns what would go before the response of a request that starts now.
   * Responses of other organisations that arrive later may overtake it, so that
   * the places ahead of it say too little about an organisation with a backlog.
   *
   * @param user The request.
   * @param ownBytes Expected size of its response, in bytes.
   * @param nowMs Monotonic time, in ms.
   * @returns The backlog.
   */
  backlogBefore(user: LinkUser, ownBytes: number, nowMs: number): LinkBacklog {
    // Its organisation's responses count whatever their objectives.
    const last = { ...user, objectiveAtMs: Infinity };
    const place = this.#toPlace(last, ownBytes, nowMs);
    const { places, progress } = this.#rankOf(user.priority);
    places.add(place);
    const { ahead, startsInBytes } = places.placeOf(place);
    places.removeWhere((other) => other === place);
    const urgentBytes = this.#urgentBytes(user.priority);
    const bytes = urgentBytes + sum(ahead);
    const isNext = user.organisation === undefined || ahead.length === 0;
    if (isNext) return { bytes, turnMs: 0 };
    const turnMs = TURN_MARGIN *
      progress.expectedMs(startsInBytes, this.#bytesPerMs);
    if (nowMs < this.#shortUntilMs) return { bytes, turnMs };
    // As long as all are served, none waits for more than what is known now.
    const knownBytes = urgentBytes + sum(places.transfers());
    return { bytes, turnMs: Math.min(turnMs, knownBytes / this.#bytesPerMs) };
  }

  /**
   * Reserves a place for the response of a request that starts.
   *
   * @param user The request.
   * @param bytes Expected size of the response, in bytes.
   * @param nowMs Monotonic time, in ms.
   * @returns The reservation.
   */
  reserve(user: LinkUser, bytes: number, nowMs: number): LinkReservation {
    return this.#reserve(user, bytes, nowMs);
  }

  /**
   * Counts the expected bytes of a reservation no longer, as the request has
   * ended. It keeps its place for the response.
   *
   * @param reservation The reservation.
   */
  settle(reservation: LinkReservation): void {
    (reservation as Place<T>).bytes = 0;
  }

  /**
   * Gives up a reservation without a response.
   *
   * @param reservation The reservation; nothing is done if it has a response.
   */
  release(reservation: LinkReservation): void {
    const { places } = this.#rankOf(reservation.priority);
    const [place] = places.removeWhere((other) =>
      other === reservation && other.response === undefined
    );
    if (place === undefined) return;
    place.isReleased = true;
    if (place.accepted !== undefined) this.#shares.withdraw(place.accepted);
  }

  /**
   * Adds a response, at its reserved place if it has one.
   *
   * @param response The response.
   * @param use Its request and size in bytes, the monotonic time in ms, and its
   * reservation.
   */
  add(
    response: T,
    use: {
      readonly user: LinkUser;
      readonly bytes: number;
      readonly nowMs: number;
      readonly reservation?: LinkReservation | undefined;
    },
  ): void {
    const { user, bytes, nowMs } = use;
    const reserved = use.reservation as Place<T> | undefined;
    const place = reserved === undefined || reserved.isReleased
      ? this.#reserve(user, bytes, nowMs)
      : reserved;
    place.bytes = bytes;
    place.response = response;
    this.#ready++;
    this.#rankOf(place.priority).ready++;
  }

  /**
   * Removes a waiting response whose receiver has left.
   *
   * @param response The response.
   */
  remove(response: T): void {
    for (const rank of this.#ranks.values()) {
      const removed = rank.places.removeWhere((place) =>
        place.response === response
      );
      rank.ready -= removed.length;
      this.#ready -= removed.length;
    }
  }

  /**
   * Takes the next response.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The response; `undefined` if none waits.
   */
  takeNext(nowMs: number): T | undefined {
    let next: Rank<T> | undefined;
    let nextPriority = Infinity;
    for (const [priority, rank] of this.#ranks) {
      recordProgress(rank, nowMs);
      if (rank.ready === 0 || priority >= nextPriority) continue;
      next = rank;
      nextPriority = priority;
    }
    if (next === undefined) return undefined;
    const place = this.#takePlace(next, nowMs);
    next.ready--;
    this.#ready--;
    recordProgress(next, nowMs);
    return place?.response;
  }

  #urgentBytes(priority: number): number {
    let bytes = 0;
    for (const [other, { places }] of this.#ranks) {
      if (other < priority) bytes += sum(places.transfers());
    }
    return bytes;
  }

  /**
   * Takes the next place in the order of the shares. While the link can serve
   * all requests, responses that would miss their objectives by that go first, but
   * not before those of organisations without a backlog.
   */
  #takePlace({ places }: Rank<T>, nowMs: number): Place<T> | undefined {
    const next = places.peekNext(hasResponse);
    if (next === undefined || next.isFirst || nowMs < this.#shortUntilMs) {
      return places.takeNext(hasResponse);
    }
    const others = places.transfers()
      .filter((place) => place !== next && place.response !== undefined)
      .sort((a, b) => a.objectiveAtMs - b.objectiveAtMs);
    let endMs = nowMs + next.bytes / this.#bytesPerMs;
    const isDelaying = others.some(({ bytes, objectiveAtMs }) => {
      endMs += bytes / this.#bytesPerMs;
      return endMs > objectiveAtMs;
    });
    const [earliest] = others;
    return isDelaying && earliest!.objectiveAtMs < next.objectiveAtMs
      ? places.takeNext((place) => place === earliest)
      : places.takeNext(hasResponse);
  }

  #reserve(user: LinkUser, bytes: number, nowMs: number): Place<T> {
    const place = this.#toPlace(user, bytes, nowMs);
    if (place.accepted !== undefined) this.#shares.accept(place.accepted);
    const { places } = this.#rankOf(user.priority);
    places.add(place);
    place.isFirst = places.placeOf(place).startsInBytes <= 0;
    return place;
  }

  #toPlace(user: LinkUser, bytes: number, nowMs: number): Place<T> {
    const { organisation } = user;
    if (organisation === undefined) return new Place(user, bytes, undefined);
    return new Place(user, bytes, {
      organisation,
      serviceMs: bytes / this.#bytesPerMs,
      acceptedAtMs: nowMs,
      position: this.#shares.positionOf(user, nowMs),
    });
  }

  #rankOf(priority: number): Rank<T> {
    const known = this.#ranks.get(priority);
    if (known !== undefined) return known;
    const rank = {
      places: new TransferQueue<Place<T>>(),
      progress: new VirtualProgress(PROGRESS),
      ready: 0,
    };
    this.#ranks.set(priority, rank);
    return rank;
  }
}

function hasResponse<T>({ response }: Place<T>): boolean {
  return response !== undefined;
}

function recordProgress<T>(rank: Rank<T>, nowMs: number): void {
  const { places, progress, ready } = rank;
  progress.record(places.virtualBytes, ready > 0, nowMs);
}

function sum(places: readonly LinkReservation[]): number {
  let total = 0;
  for (const { bytes } of places) total += bytes;
  return total;
}
