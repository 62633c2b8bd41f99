/** An example of a page: changes to files, and the output that they cause. */
export interface PageExample {
  /** Name in the heading, which stands in backquotes. */
  readonly name: string;
  /** Changed lines; "--- FILE" begins a file, "@@" the next place in it. */
  readonly diff: string;
  /** Expected lines of output. */
  readonly text: string;
}

/**
 * Reads the examples of a page: sections "### `NAME`" with a "diff" and a
 * "text" block.
 *
 * @param page The page, in Markdown.
 * @returns The examples, in order.
 */
export function readPageExamples(page: string): PageExample[] {
  return page.split(/^### /m).slice(1).map((section) => {
    const block = (language: string) =>
      new RegExp("^```" + language + "\\n([^]*?)^```$", "m").exec(section)
        ?.[1]?.trimEnd();
    const name = /^`([^`]+)`/.exec(section)?.[1];
    const diff = block("diff");
    const text = block("text");
    if (name === undefined || diff === undefined || text === undefined) {
      throw new Error(`Cannot read the example of "${section.slice(0, 40)}"`);
    }
    return { name, diff, text };
  });
}

/**
 * Applies the diff of an example.
 *
 * @param files Texts by file name.
 * @param diff The diff.
 * @returns The changed texts by file name.
 * @throws {Error} If a file does not contain the lines of the diff.
 */
export function applyDiff(
  files: Readonly<Record<string, string>>,
  diff: string,
): Record<string, string> {
  const result = { ...files };
  for (const part of `\n${diff}`.split(/\n--- /).slice(1)) {
    const [file, ...lines] = part.split("\n");
    for (const hunk of lines.join("\n").split(/^@@$/m)) {
      const pick = (mark: string) =>
        hunk.split("\n").filter((line) =>
          line.startsWith(mark) || line.startsWith(" ")
        ).map((line) => line.slice(1)).join("\n");
      const text = result[file!];
      const removed = pick("-");
      if (text === undefined || removed === "" || !text.includes(removed)) {
        throw new Error(`Cannot apply the diff to ${file}: no "${removed}"`);
      }
      result[file!] = text.replace(removed, () => pick("+"));
    }
  }
  return result;
}
