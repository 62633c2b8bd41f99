import type { ConfigDocuments } from "../../coordination/config/check_documents.ts";
import type { SiteConfig } from "../../protocol/config_schema.ts";
import type {
  JsonPath,
  SourcePosition,
} from "../../protocol/source_document.ts";
import { ConfigSnapshot } from "../../state/config_snapshot.ts";
import type { Finding, FindingDetail } from "./finding.ts";

/**
 * The compiled configuration of one site, with the positions of its fields in
 * the source files.
 *
 * @example
 * ```ts ignore
 * const view = new SiteView(documents, "east", config);
 * view.locate(["services", "lookup"]).line; // 4
 * ```
 */
export class SiteView {
  readonly site: string;
  readonly config: SiteConfig;
  readonly snapshot: ConfigSnapshot;
  readonly #documents: ConfigDocuments;

  /**
   * Creates a view.
   *
   * @param documents The source files.
   * @param site Name of the site; one without an overlay has the base.
   * @param config The site's compiled configuration.
   */
  constructor(documents: ConfigDocuments, site: string, config: SiteConfig) {
    this.site = site;
    this.config = config;
    this.snapshot = new ConfigSnapshot(0, config);
    this.#documents = documents;
  }

  /**
   * Returns the position of a field: in the overlay if it contains the field,
   * else in the base. An absent field has the position of its closest parent.
   *
   * @param path Path to the field.
   * @returns The position.
   */
  locate(path: JsonPath): SourcePosition {
    const { base, overlays } = this.#documents;
    const overlay = Object.hasOwn(overlays, this.site)
      ? overlays[this.site]
      : undefined;
    const document = overlay?.has(path) ? overlay : base;
    const { file, line, column } = document.problemAt(path, "");
    return { file, line, column, path };
  }

  /**
   * Creates a finding of this site.
   *
   * @param path Path to the field that the finding is about.
   * @param detail Kind and values.
   * @returns The finding.
   */
  find(path: JsonPath, detail: FindingDetail): Finding {
    return { ...detail, ...this.locate(path), sites: [this.site] };
  }
}
