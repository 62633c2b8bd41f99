import { ExitCode } from "./exit_code.ts";
import { type LogLine, readLogs } from "./log_lines.ts";
import type { Output } from "./output.ts";

/** One destination that a request was sent to, as `request-ended` lists it. */
export interface LoggedStep {
  readonly backend: string;
  readonly outcome: string;
  /** Status of the answer, or the reason for there being none. */
  readonly detail: string;
  readonly expectedWaitMs: number;
  readonly tookMs: number;
}

/**
 * Parses the steps of a `request-ended` event.
 *
 * @param text Value of the field `steps`.
 * @returns The steps in order.
 *
 * @example
 * ```ts
 * parseSteps("i-1:answered:200:0:31")[0]!.tookMs; // 31
 * ```
 */
export function parseSteps(text: string): LoggedStep[] {
  return text.split(",").filter((step) => step !== "").map((step) => {
    const [backend, outcome, detail, waitMs, tookMs] = step.split(":");
    return {
      backend: backend ?? "",
      outcome: outcome ?? "",
      detail: detail ?? "",
      expectedWaitMs: Number(waitMs),
      tookMs: Number(tookMs),
    };
  });
}

/**
 * Tells the story of a request from the logs of one or several daemons.
 *
 * @param id Id of the request.
 * @param lines Events of the logs.
 * @returns The story, a line each; none where no event names the request.
 *
 * @example
 * ```ts ignore
 * tellRequest("r1", readLogs(["east-1.log"]));
 * ```
 */
export function tellRequest(id: string, lines: readonly LogLine[]): string[] {
  return lines.filter(({ fields }) => fields.id === id).flatMap(tellEvent);
}

/**
 * Writes the story of a request.
 *
 * @param id Id of the request.
 * @param files Logs; standard input where there are none.
 * @param output Receiver of the story.
 * @returns The exit code: invalid where no log names the request.
 *
 * @example
 * ```ts ignore
 * explainLog("r1", ["east-1.log"], output);
 * ```
 */
export function explainLog(
  id: string,
  files: readonly string[],
  output: Output,
): ExitCode {
  const story = tellRequest(id, readLogs(files));
  output.json({ id, story });
  for (const line of story) output.line(line);
  if (story.length > 0) return ExitCode.Ok;
  output.error(`no event names request ${id}; of those served one in 50 does`);
  return ExitCode.Invalid;
}

function tellEvent({ event, fields }: LogLine): string[] {
  const { time, instance } = fields;
  const place = `${time} ${instance}`;
  switch (event) {
    case "request-ended":
      return [
        ...parseSteps(fields.steps ?? "").map((step) =>
          `${place}: ${tellStep(step)}`
        ),
        `${place}: ${tellEnd(fields)}`,
      ];
    case "backend-send-failed":
      return [
        `${place}: the connection to ${fields.peer} failed, ${
          fields.sent === "true" ? "after" : "before"
        } the request was sent: ${fields.reason}`,
      ];
    case "backend-answer-malformed":
      return [
        `${place}: ${fields.peer} answered ${fields.status}, not to this request`,
      ];
    default:
      return [`${place}: ${event}`];
  }
}

function tellStep(step: LoggedStep): string {
  const times =
    `expected wait ${step.expectedWaitMs} ms, took ${step.tookMs} ms`;
  switch (step.outcome) {
    case "answered":
      return `${step.backend} answered ${step.detail} (${times})`;
    case "not-run":
      return `${step.backend} did not run it: ${step.detail} (${times})`;
    case "hopeless":
      return `${step.backend} was not asked: its reports left no chance (${times})`;
    case "doubted":
      return `${step.backend} gave no sign of it: ${step.detail} (${times}); its answer was still waited for`;
    default:
      return `${step.backend} may have run it: ${step.detail} (${times})`;
  }
}

function tellEnd(fields: LogLine["fields"]): string {
  const cause = fields.status ?? fields.reason ?? "";
  const returns = fields.retryAfterMs === undefined
    ? ""
    : `, to come back in ${fields.retryAfterMs} ms`;
  return `${fields.result} ${cause} after ${fields.tookMs} ms${returns}; ` +
    `route ${fields.route} of version ${fields.configVersion}`;
}
