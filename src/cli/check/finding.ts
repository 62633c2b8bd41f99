import type { Json } from "../../protocol/canonical_json.ts";
import type { Delivery } from "../../protocol/config_schema.ts";
import type { Rank } from "../../protocol/rank.ts";
import type { SourcePosition } from "../../protocol/source_document.ts";
import type { RequestClass } from "./request_classes.ts";

/** Classes of findings. */
export enum FindingCategory {
  /** A daemon would reject the configuration. */
  Error = "error",
  /** An entry that never takes effect. */
  NeverMatches = "never-matches",
  /** Limits that contradict each other. */
  Contradiction = "contradiction",
  /** A difference from the version in force. */
  Difference = "difference",
}

/** Kinds of findings. */
export enum FindingKind {
  Invalid = "invalid",
  RouteWithoutMethods = "route-without-methods",
  UnmatchablePrefix = "unmatchable-prefix",
  ServiceWithoutRoute = "service-without-route",
  ServiceWithoutCaller = "service-without-caller",
  CallerWithoutApproval = "caller-without-approval",
  DuplicateApproval = "duplicate-approval",
  RemovalOfAbsent = "removal-of-absent",
  ProbeOutlastsRequests = "probe-outlasts-requests",
  RankWithoutShare = "rank-without-share",
  NoBodyAllowed = "no-body-allowed",
  ResourceAdded = "resource-added",
  ResourceChanged = "resource-changed",
  ResourceRemoved = "resource-removed",
  AccessGained = "access-gained",
  AccessLost = "access-lost",
  CredentialAdded = "credential-added",
  CredentialRemoved = "credential-removed",
  LimitLowered = "limit-lowered",
  RankLowered = "rank-lowered",
  DeliveryChanged = "delivery-changed",
  TrafficMoved = "traffic-moved",
}

/** A field of a resource that differs between two versions. */
export interface ChangedField {
  /** Path below the resource, joined by dots. */
  readonly field: string;
  /** Earlier value; `undefined` if the field was absent. */
  readonly before: Json | undefined;
  /** Later value; `undefined` if the field is absent. */
  readonly after: Json | undefined;
}

/** Kind and values of a finding. */
export type FindingDetail =
  | { readonly kind: FindingKind.Invalid; readonly message: string }
  | { readonly kind: FindingKind.RouteWithoutMethods; readonly route: string }
  | {
    readonly kind: FindingKind.UnmatchablePrefix;
    readonly route: string;
    readonly pathPrefix: string;
  }
  | {
    readonly kind:
      | FindingKind.ServiceWithoutRoute
      | FindingKind.ServiceWithoutCaller;
    readonly service: string;
  }
  | {
    readonly kind: FindingKind.CallerWithoutApproval;
    readonly caller: string;
  }
  | {
    readonly kind: FindingKind.DuplicateApproval;
    readonly service: string;
    readonly caller: string;
  }
  | { readonly kind: FindingKind.RemovalOfAbsent }
  | {
    readonly kind: FindingKind.ProbeOutlastsRequests;
    readonly service: string;
    readonly probeTimeoutMs: number;
    readonly timeoutMs: number;
  }
  | {
    readonly kind: FindingKind.RankWithoutShare;
    readonly route: string;
    readonly service: string;
    readonly rank: Rank;
  }
  | {
    readonly kind: FindingKind.NoBodyAllowed;
    readonly route: string;
    readonly service: string;
    /** Methods of the route whose requests have a body. */
    readonly methods: readonly string[];
  }
  | {
    readonly kind: FindingKind.ResourceAdded | FindingKind.ResourceRemoved;
    /** Section and name, such as "routes.stock". */
    readonly resource: string;
  }
  | {
    readonly kind: FindingKind.ResourceChanged;
    /** Section and name, such as "routes.stock". */
    readonly resource: string;
    readonly fields: readonly ChangedField[];
  }
  | {
    readonly kind: FindingKind.AccessGained | FindingKind.AccessLost;
    readonly caller: string;
    readonly service: string;
    readonly requests: readonly RequestClass[];
  }
  | {
    readonly kind: FindingKind.CredentialAdded | FindingKind.CredentialRemoved;
    readonly caller: string;
    /** SHA-256 of the caller's token, in hexadecimal. */
    readonly digest: string;
  }
  | {
    readonly kind: FindingKind.LimitLowered;
    /** Name of the limit with its unit, such as "timeoutMs". */
    readonly limit: string;
    readonly before: number;
    readonly after: number;
    /** Callers that the limit applies to. */
    readonly callers: readonly string[];
  }
  | {
    readonly kind: FindingKind.RankLowered;
    readonly route: string;
    readonly before: Rank;
    readonly after: Rank;
    readonly callers: readonly string[];
  }
  | {
    readonly kind: FindingKind.DeliveryChanged;
    readonly service: string;
    readonly before: Delivery;
    readonly after: Delivery;
    readonly callers: readonly string[];
  }
  | {
    readonly kind: FindingKind.TrafficMoved;
    /** Earlier service. */
    readonly from: string;
    /** Later service; `undefined` if no route matches. */
    readonly to: string | undefined;
    readonly requests: readonly RequestClass[];
  };

/** A finding with its position and the sites that it applies to. */
export type Finding = FindingDetail & SourcePosition & {
  /** Names of the sites; empty if it applies to the files as such. */
  readonly sites: readonly string[];
};

/**
 * Returns the category of a kind of finding.
 *
 * @param kind The kind.
 * @returns The category.
 *
 * @example
 * ```ts
 * categoryOf(FindingKind.LimitLowered); // FindingCategory.Difference
 * ```
 */
export function categoryOf(kind: FindingKind): FindingCategory {
  switch (kind) {
    case FindingKind.Invalid:
      return FindingCategory.Error;
    case FindingKind.RouteWithoutMethods:
    case FindingKind.UnmatchablePrefix:
    case FindingKind.ServiceWithoutRoute:
    case FindingKind.ServiceWithoutCaller:
    case FindingKind.CallerWithoutApproval:
    case FindingKind.DuplicateApproval:
    case FindingKind.RemovalOfAbsent:
      return FindingCategory.NeverMatches;
    case FindingKind.ProbeOutlastsRequests:
    case FindingKind.RankWithoutShare:
    case FindingKind.NoBodyAllowed:
      return FindingCategory.Contradiction;
    case FindingKind.ResourceAdded:
    case FindingKind.ResourceChanged:
    case FindingKind.ResourceRemoved:
    case FindingKind.AccessGained:
    case FindingKind.AccessLost:
    case FindingKind.CredentialAdded:
    case FindingKind.CredentialRemoved:
    case FindingKind.LimitLowered:
    case FindingKind.RankLowered:
    case FindingKind.DeliveryChanged:
    case FindingKind.TrafficMoved:
      return FindingCategory.Difference;
  }
}
