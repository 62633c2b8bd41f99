import { ExitCode } from "./exit_code.ts";
import { type LogLine, readLogs } from "./log_lines.ts";
import type { Output } from "./output.ts";

/** One destination that a request was sent to, as `request-ended` lists it. */
export interface LoggedStep {
  readonly backend: string;
  readonly outcome: string;
  /** Status of the response, or the reason why there is none. */
  readonly detail: string;
  readonly expectedWaitMs: number;
  readonly tookMs: number;
  /** Absent in the logs of earlier versions. */
  readonly expectedServiceMs?: number;
  /** Absent without a response. */
  readonly serviceMs?: number;
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
    const [backend, outcome, detail, waitMs, tookMs, expectedMs, serviceMs] =
      step.split(":");
    return {
      backend: backend ?? "",
      outcome: outcome ?? "",
      detail: detail ?? "",
      expectedWaitMs: Number(waitMs),
      tookMs: Number(tookMs),
      ...(expectedMs === undefined
        ? {}
        : { expectedServiceMs: Number(expectedMs) }),
      ...(serviceMs === undefined ? {} : { serviceMs: Number(serviceMs) }),
    };
  });
}

/**
 * Describes the events of a request in the logs of one or more daemons.
 *
 * @param id Id of the request.
 * @param lines Events of the logs.
 * @returns One or more lines per event; none if no event names the request.
 *
 * @example
 * ```ts ignore
 * describeRequest("r1", readLogs(["east-1.log"]));
 * ```
 */
export function describeRequest(
  id: string,
  lines: readonly LogLine[],
): string[] {
  return lines.filter(({ fields }) => fields.id === id).flatMap(describeEvent);
}

/**
 * Writes a description of a request's events.
 *
 * @param id Id of the request.
 * @param files Paths of the logs; standard input if empty.
 * @param output Receives the description.
 * @returns The exit code; `Invalid` if no log event names the request.
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
  const story = describeRequest(id, readLogs(files));
  output.json({ id, story });
  for (const line of story) output.line(line);
  if (story.length > 0) return ExitCode.Ok;
  output.error(
    `no log event names request ${id}; of the served requests, one in 50 is logged`,
  );
  return ExitCode.Invalid;
}

function describeEvent({ event, fields }: LogLine): string[] {
  const { time, instance } = fields;
  const prefix = `${time} ${instance}`;
  switch (event) {
    case "request-ended":
      return [
        ...parseSteps(fields.steps ?? "").map((step) =>
          `${prefix}: ${describeStep(step)}`
        ),
        `${prefix}: ${describeResult(fields)}`,
      ];
    case "backend-send-failed":
      return [
        `${prefix}: the connection to ${fields.peer} failed, ${
          fields.sent === "true" ? "after" : "before"
        } the request was sent: ${fields.reason}`,
      ];
    case "backend-answer-malformed":
      return [
        `${prefix}: ${fields.peer} answered ${fields.status}, but not to this request`,
      ];
    default:
      return [`${prefix}: ${event}`];
  }
}

function describeStep(step: LoggedStep): string {
  const times =
    `expected wait ${step.expectedWaitMs} ms, took ${step.tookMs} ms` +
    describeCost(step);
  switch (step.outcome) {
    case "answered":
      return `${step.backend} answered ${step.detail} (${times})`;
    case "not-run":
      return `${step.backend} did not run it: ${step.detail} (${times})`;
    case "hopeless":
      return `${step.backend} was not called: its reported wait is too long (${times})`;
    case "doubted":
      return `status queries found no sign of it on ${step.backend}: ${step.detail} (${times}); its response was still awaited`;
    default:
      return `${step.backend} may have run it: ${step.detail} (${times})`;
  }
}

function describeCost({ expectedServiceMs, serviceMs }: LoggedStep): string {
  if (expectedServiceMs === undefined) return "";
  const actual = serviceMs === undefined ? "" : ` and was ${serviceMs} ms`;
  return `, expected service ${expectedServiceMs} ms${actual}`;
}

function describeResult(fields: LogLine["fields"]): string {
  const detail = fields.status ?? fields.reason ?? "";
  const retryHint = fields.retryAfterMs === undefined
    ? ""
    : `, retry after ${fields.retryAfterMs} ms`;
  return `${fields.result} ${detail} after ${fields.tookMs} ms${retryHint}; ` +
    `route ${fields.route} of version ${fields.configVersion}`;
}
