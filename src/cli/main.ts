#!/usr/bin/env node
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { messageOf, StepError } from "../protocol/step_error.ts";
import { apply, type ApplyOptions, diff, rollback } from "./apply.ts";
import { check } from "./check.ts";
import { type CheckExitCode, ExitCode, exitCodeOf } from "./exit_code.ts";
import { explainCall, explainRequest, explainVersion } from "./explain.ts";
import { explainLog } from "./explain_log.ts";
import { summarizeLogs } from "./logs.ts";
import { OperatorSession } from "./operator_session.ts";
import { openOutput, type Output } from "./output.ts";
import { history, status } from "./status.ts";
import { makeToken } from "./token.ts";
import { validate } from "./validate.ts";

const DEFAULT_OPERATOR_FILE = "operator.jsonc";

/** Runs a command and turns a failure into a message and an exit code. */
async function runAndReport(
  output: Output,
  run: () => Promise<ExitCode | CheckExitCode> | ExitCode,
): Promise<void> {
  try {
    process.exitCode = await run();
  } catch (error) {
    const code = error instanceof StepError
      ? exitCodeOf(error.kind)
      : ExitCode.Invalid;
    const context = error instanceof StepError
      ? ` (step ${error.step}, peer ${error.peer})`
      : "";
    output.error(`${messageOf(error)}${context}`);
    output.json({ ok: false, error: messageOf(error) });
    process.exitCode = code;
  }
}

/** Arguments parsed by yargs; every command has `json` and `operator`. */
type CommonArgs = Readonly<Record<string, unknown>>;

/** Runs a command without the operator's connections. */
function runLocal(
  args: CommonArgs,
  run: (output: Output) => Promise<ExitCode | CheckExitCode> | ExitCode,
): Promise<void> {
  const output = openOutput(args.json === true);
  return runAndReport(output, () => run(output));
}

/** Runs a command with the operator's connections. */
function runSession(
  args: CommonArgs,
  run: (session: OperatorSession, output: Output) => Promise<ExitCode>,
): Promise<void> {
  return runLocal(args, async (output) => {
    const session = OperatorSession.open(
      String(args.operator ?? DEFAULT_OPERATOR_FILE),
    );
    try {
      return await run(session, output);
    } finally {
      await session.close();
    }
  });
}

/** Arguments of a command that accepts a version. */
interface AcceptArgs {
  readonly note: string;
  readonly wait: boolean;
  readonly "wait-ms": number;
  readonly expect?: number | undefined;
}

function toApplyOptions(args: AcceptArgs): ApplyOptions {
  return {
    note: args.note,
    shouldWait: args.wait,
    waitMs: args["wait-ms"],
    ...(args.expect === undefined ? {} : { expectedVersion: args.expect }),
  };
}

const directory = {
  type: "string",
  describe: "directory with base.jsonc and sites/SITE.jsonc",
  demandOption: true,
} as const;

const logFiles = {
  type: "string",
  array: true,
  default: [] as string[],
  describe: "log files; standard input if none are given",
} as const;

const acceptOptions = {
  wait: {
    type: "boolean",
    default: false,
    describe: "wait until the version is in force everywhere",
  },
  "wait-ms": {
    type: "number",
    default: 30_000,
    describe: "longest time to wait, in ms",
  },
  note: { type: "string", default: "", describe: "purpose of the change" },
} as const;

// A reader that closes the pipe early, such as `head`, is not an error.
process.stdout.on("error", (error: NodeJS.ErrnoException) => {
  if (error.code !== "EPIPE") throw error;
  process.exit(ExitCode.Ok);
});

await yargs(hideBin(process.argv))
  .scriptName("sesamepond")
  .usage("$0 COMMAND: configuration distribution for a service mesh")
  .option("json", {
    type: "boolean",
    default: false,
    describe: "write the result as JSON",
  })
  .option("operator", {
    type: "string",
    // No default: `check` uses the store only if a file is given.
    defaultDescription: DEFAULT_OPERATOR_FILE,
    describe: "the operator's settings file",
  })
  .command(
    "validate <directory>",
    "check a configuration without access to the store",
    (builder) => builder.positional("directory", directory),
    (args) => runLocal(args, (output) => validate(args.directory, output)),
  )
  .command(
    "check <directory>",
    "find errors, useless entries, contradicting limits and differences",
    (builder) =>
      builder.positional("directory", directory).option("output", {
        choices: ["text", "json"] as const,
        default: "text" as const,
        describe: "form of the report",
      }),
    (args) =>
      runLocal(
        { ...args, json: args.json || args.output === "json" },
        (output) =>
          check(args.directory, output, { operatorFile: args.operator }),
      ),
  )
  .command(
    "diff <directory>",
    "show what applying a configuration would change",
    (builder) => builder.positional("directory", directory),
    (args) =>
      runSession(
        args,
        (session, output) => diff(args.directory, session, output),
      ),
  )
  .command(
    "apply <directory>",
    "accept a configuration",
    (builder) =>
      builder.positional("directory", directory).options(acceptOptions)
        .option("expect", {
          type: "number",
          describe: "version that the change is based on",
        }),
    (args) =>
      runSession(args, (session, output) => {
        const parts = { output, options: toApplyOptions(args) };
        return apply(args.directory, session, parts);
      }),
  )
  .command(
    "rollback <version>",
    "accept an earlier version's content again",
    (builder) =>
      builder.positional("version", { type: "number", demandOption: true })
        .options(acceptOptions),
    (args) =>
      runSession(args, (session, output) => {
        const parts = { output, options: toApplyOptions(args) };
        return rollback(args.version, session, parts);
      }),
  )
  .command(
    "status",
    "show the accepted version and the version of each member",
    {},
    (args) => runSession({ ...args }, status),
  )
  .command(
    "history",
    "list the accepted versions",
    {},
    (args) => runSession({ ...args }, history),
  )
  .command(
    "explain",
    "explain a call, a request or a version",
    (builder) =>
      builder
        .command(
          "call <directory>",
          "show to which route, service and backend servers a call would go",
          (inner) =>
            inner.positional("directory", directory).options({
              site: { type: "string", demandOption: true },
              caller: { type: "string", demandOption: true },
              method: { type: "string", default: "GET" },
              path: { type: "string", demandOption: true },
              daemon: { type: "string", describe: "admin address of a daemon" },
            }),
          (args) =>
            runLocal(
              args,
              (output) => explainCall(args.directory, args, output),
            ),
        )
        .command(
          "request <id>",
          "show the decisions about a request",
          (inner) =>
            inner.positional("id", { type: "string", demandOption: true })
              .option("daemon", {
                type: "string",
                demandOption: true,
                describe: "admin address of the daemon that the caller used",
              }),
          (args) =>
            runLocal(
              args,
              (output) => explainRequest(args.daemon, args.id, output),
            ),
        )
        .command(
          "log <id> [files..]",
          "show the events of a request in the logs of sidecar daemons",
          (inner) =>
            inner.positional("id", { type: "string", demandOption: true })
              .positional("files", logFiles),
          (args) =>
            runLocal(
              args,
              (output) => explainLog(args.id, args.files, output),
            ),
        )
        .command(
          "version <version>",
          "show when a version was accepted and came into force",
          (inner) =>
            inner.positional("version", {
              type: "number",
              demandOption: true,
            }),
          (args) =>
            runSession(
              args,
              (session, output) =>
                explainVersion(args.version, session, output),
            ),
        )
        .demandCommand(1),
  )
  .command(
    "logs [files..]",
    "count the results of the requests in logs of sidecar daemons",
    (builder) => builder.positional("files", logFiles),
    (args) => runLocal(args, (output) => summarizeLogs(args.files, output)),
  )
  .command(
    "daemon <settings>",
    "run the daemon of an instance",
    (builder) =>
      builder.positional("settings", { type: "string", demandOption: true }),
    async (args) => {
      const { runDaemon } = await import("../daemon/run_daemon.ts");
      await runLocal(args, () => runDaemon(args.settings));
    },
  )
  .command(
    "token",
    "generate a caller's credential and its digest",
    {},
    (args) => runLocal({ ...args }, makeToken),
  )
  .completion("completion", "write a completion script for the shell")
  .demandCommand(1, "no command given")
  .strict()
  .fail((message, error, self) => {
    if (error !== undefined && error !== null) throw error;
    process.stderr.write(`${message}\n`);
    self.showHelp();
    process.exit(ExitCode.Usage);
  })
  .version(false)
  .help()
  .parseAsync();
