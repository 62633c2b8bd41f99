import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Announcement, BackendState } from "../protocol/mesh.ts";
import { LocalBackend } from "./local_backend.ts";

function announcement(fields: Partial<Announcement> = {}): Announcement {
  return {
    id: "i-1",
    service: "stock",
    address: "10.0.0.1:80",
    slots: 4,
    state: BackendState.Ready,
    sequence: 1,
    bornAtUnixMs: 100,
    ...fields,
  };
}

const DRAINING = { state: BackendState.Draining };

test("applyAnnouncement() ignores late announcements of a draining backend", () => {
  const backend = new LocalBackend();
  const changes = [
    announcement(),
    announcement({ sequence: 3, ...DRAINING }),
    announcement({ sequence: 2 }),
    announcement({ sequence: 4 }),
  ].map((one) => backend.applyAnnouncement(one).kind);
  assert.equal({ changes, ready: backend.ready }, {
    changes: ["started", "draining", "stale", "unchanged"],
    ready: undefined,
  });
});

test("applyAnnouncement() ignores a late announcement of an earlier process", () => {
  const backend = new LocalBackend();
  const changes = [
    announcement({ id: "i-2", bornAtUnixMs: 200 }),
    announcement({ id: "i-1", bornAtUnixMs: 100, sequence: 50 }),
    announcement({ id: "i-2", bornAtUnixMs: 300 }),
  ].map((one) => backend.applyAnnouncement(one).kind);
  assert.equal({ changes, born: backend.ready?.bornAtUnixMs }, {
    changes: ["started", "stale", "started"],
    born: 300,
  });
});

test("applyLeave() of an earlier process does not affect the current one", () => {
  const backend = new LocalBackend();
  backend.applyAnnouncement(announcement({ bornAtUnixMs: 200 }));
  const changes = [
    backend.applyLeave("i-1", 100),
    backend.applyLeave("i-9", 300),
    backend.applyLeave("i-1", 200),
    backend.applyAnnouncement(announcement({ bornAtUnixMs: 200, sequence: 9 })),
  ].map((change) => change.kind);
  assert.equal({ changes, current: backend.current }, {
    changes: ["stale", "stale", "left", "stale"],
    current: undefined,
  });
});

test("restoreDrained() ignores a backend that drained before a restart", () => {
  const backend = new LocalBackend();
  backend.restoreDrained("i-1", 100);
  const changes = [
    announcement({ sequence: 7 }),
    announcement({ id: "i-2", bornAtUnixMs: 200 }),
  ].map((one) => backend.applyAnnouncement(one).kind);
  assert.equal(changes, ["stale", "started"]);
});

test.run();
