import type { QuotaReply, QuotaReport } from "../../protocol/quota_message.ts";
import { AccountGroup, type GroupConditions } from "./account_group.ts";
import type { FleetView } from "./fleet_view.ts";
import type { QuotaPlan } from "./quota_plan.ts";

/**
 * The groups whose accounts one daemon holds.
 *
 * @example
 * ```ts ignore
 * book.update(view, plans, false, nowMs);
 * const reply = book.serve(report, nowMs);
 * ```
 */
export class AccountBook {
  readonly #instance: string;
  readonly #process: string;
  readonly #groups = new Map<string, AccountGroup>();
  #groupCount = 0;
  /** Whether it was known before who holds which accounts. */
  #hasAssignment = false;
  #view: FleetView | undefined;
  #plans: ReadonlyMap<string, QuotaPlan> | undefined;
  #plansByGroup: ReadonlyMap<string, ReadonlyMap<string, QuotaPlan>> =
    new Map();

  /**
   * Creates a book without groups.
   *
   * @param instance Name of this instance.
   * @param process Id of this process, different from those before it.
   */
  constructor(instance: string, process: string) {
    this.#instance = instance;
    this.#process = process;
  }

  /** Groups whose accounts this daemon holds. */
  get groups(): ReadonlyMap<string, AccountGroup> {
    return this.#groups;
  }

  /**
   * Adopts the assignment of accounts, limits and facts about the fleet.
   *
   * @param view The view of the fleet.
   * @param plans Plans of all organisations with a limit, by name; another map
   * whenever one has changed.
   * @param isOutdated Whether the view of the store is old.
   * @param nowMs Monotonic time, in ms.
   */
  update(
    view: FleetView,
    plans: ReadonlyMap<string, QuotaPlan>,
    isOutdated: boolean,
    nowMs: number,
  ): void {
    const mine = view.groups.filter((group) =>
      view.accountOf(group) === this.#instance
    );
    for (const group of this.#groups.keys()) {
      if (!mine.includes(group)) this.#groups.delete(group);
    }
    if (view !== this.#view || plans !== this.#plans) {
      this.#view = view;
      this.#plans = plans;
      this.#plansByGroup = assignPlans(view, mine, plans);
    }
    const isFirst = !this.#hasAssignment;
    this.#hasAssignment ||= view.hasAccounts;
    const conditions: GroupConditions = {
      fleetSize: view.size,
      leaseMs: view.leaseMs,
      isOutdated,
    };
    for (const [name, groupPlans] of this.#plansByGroup) {
      let group = this.#groups.get(name);
      if (group === undefined) {
        group = new AccountGroup(
          `${this.#process}.${++this.#groupCount}`,
          isFirst ? undefined : nowMs,
        );
        this.#groups.set(name, group);
      }
      group.update(groupPlans, conditions, nowMs);
    }
  }

  /**
   * Serves a daemon.
   *
   * @param report What it sent.
   * @param nowMs Monotonic time, in ms.
   * @returns The answer.
   */
  serve(report: QuotaReport, nowMs: number): QuotaReply {
    return this.#groups.get(report.group)?.serve(report, nowMs) ??
      { kind: "not-account" };
  }
}

function assignPlans(
  view: FleetView,
  groups: readonly string[],
  plans: ReadonlyMap<string, QuotaPlan>,
): ReadonlyMap<string, ReadonlyMap<string, QuotaPlan>> {
  const byGroup = new Map<string, Map<string, QuotaPlan>>(
    groups.map((group) => [group, new Map()]),
  );
  if (groups.length === 0) return byGroup;
  for (const [organisation, plan] of plans) {
    byGroup.get(view.groupOf(organisation))?.set(organisation, plan);
  }
  return byGroup;
}
