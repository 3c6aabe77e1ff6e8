package state

import (
	"flag"
	"fmt"
)

// mutation names the rule to disable, to check that a test fails without it.
var mutation = flag.String("mutation", "", "rule to disable: noDedup, noFence, reuseToken, noOrphan or noTomb")

func mutationFromFlag() mutations {
	switch *mutation {
	case "":
		return mutations{}
	case "noDedup":
		return mutations{noDeduplication: true}
	case "noFence":
		return mutations{noSessionFencing: true}
	case "reuseToken":
		return mutations{reuseToken: true}
	case "noOrphan":
		return mutations{dropOrphans: true}
	case "noTomb":
		return mutations{noTombstones: true}
	}
	panic(fmt.Sprintf("unknown mutation %q", *mutation))
}
