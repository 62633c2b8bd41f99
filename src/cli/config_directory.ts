import { existsSync, readdirSync } from "node:fs";
import { basename, join } from "node:path";
import {
  checkDocuments,
  type ConfigDocuments,
} from "../coordination/config/check_documents.ts";
import {
  type Problem,
  SourceDocument,
  SourceError,
} from "../protocol/source_document.ts";
import { messageOf } from "../protocol/step_error.ts";
import { type ConfigSource, ResourceSet } from "../state/resource_set.ts";

/** Name of the base file in a configuration directory. */
const BASE_FILE = "base.jsonc";
/** Name of the folder with the overlays. */
export const SITES_FOLDER = "sites";
/** Extension of an overlay's file name. */
const OVERLAY_EXTENSION = ".jsonc";

/** The content of a configuration directory. */
export interface ConfigDirectory {
  readonly documents: ConfigDocuments;
  readonly problems: readonly Problem[];
}

/**
 * Reads and checks a directory with a base file and overlays.
 *
 * @param directory Path with `base.jsonc` and `sites/SITE.jsonc`.
 * @returns The documents with their problems.
 * @throws {SourceError} If the directory cannot be read.
 *
 * @example
 * ```ts ignore
 * const { problems } = readConfigDirectory("examples/association");
 * ```
 */
export function readConfigDirectory(directory: string): ConfigDirectory {
  const base = SourceDocument.read(join(directory, BASE_FILE));
  const overlays: Record<string, SourceDocument> = {};
  for (const file of listOverlays(join(directory, SITES_FOLDER))) {
    const site = basename(file, OVERLAY_EXTENSION);
    overlays[site] = SourceDocument.read(file);
  }
  const documents = { base, overlays };
  return { documents, problems: checkDocuments(documents) };
}

/**
 * Returns the resources of a directory that has no problems.
 *
 * @param documents The directory's documents.
 * @returns The resources.
 *
 * @example
 * ```ts ignore
 * const resources = toResources(documents);
 * ```
 */
export function toResources(documents: ConfigDocuments): ResourceSet {
  const source: ConfigSource = {
    base: documents.base.value,
    sites: Object.fromEntries(
      Object.entries(documents.overlays)
        .map(([site, overlay]) => [site, overlay.value]),
    ),
  };
  return ResourceSet.fromSource(source);
}

function listOverlays(folder: string): string[] {
  if (!existsSync(folder)) return [];
  return listFiles(folder)
    .filter((name) => name.endsWith(OVERLAY_EXTENSION))
    .map((name) => checkSiteName(folder, name));
}

function listFiles(folder: string): string[] {
  try {
    return readdirSync(folder);
  } catch (error) {
    throw new SourceError(
      folder,
      "read-overlays",
      `Cannot read ${folder}: ${messageOf(error)}`,
      { cause: error },
    );
  }
}

function checkSiteName(folder: string, name: string): string {
  if (/^[a-z0-9][a-z0-9-]{0,62}\.jsonc$/.test(name)) return join(folder, name);
  throw new SourceError(
    join(folder, name),
    "read-overlays",
    `Cannot use overlay ${
      join(folder, name)
    }: a site's name is 1 to 63 lower-case letters, digits or hyphens`,
  );
}
