import { test } from "uvu";
import { testReturns } from "./return_cases.ts";

// Guards against versions that are late at daemons which go on waiting for
// calls that they sent before the store returned: each daemon polls the store.
testReturns(10);

test.run();
