import { test } from "uvu";
import { testReturns } from "./return_cases.ts";

// Guards against versions that are late at daemons which go on waiting for
// calls that they sent before the store returned: each daemon polls the store.
testReturns({ size: 10, hasSlowLinks: false }, [300, 4_600]);
testReturns({ size: 10, hasSlowLinks: true });

test.run();
