package state

import (
	"flag"
	"fmt"
)

// The flag turns one rule off, so that a run shows which test fails without it.
var mutation = flag.String("mutation", "", "rule to turn off: noDedup, noFence, reuseToken, noOrphan or noTomb")

func mutated() hooks {
	switch *mutation {
	case "":
		return hooks{}
	case "noDedup":
		return hooks{noDedup: true}
	case "noFence":
		return hooks{noFence: true}
	case "reuseToken":
		return hooks{reuseToken: true}
	case "noOrphan":
		return hooks{noOrphan: true}
	case "noTomb":
		return hooks{noTomb: true}
	}
	panic(fmt.Sprintf("unknown mutation %q", *mutation))
}
