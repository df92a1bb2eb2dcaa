// Command gentianrail is the operators' tool, a client of the operator API.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/gentianrail/gentianrail/internal/tool"
)

func main() {
	err := tool.New().Run(context.Background(), os.Args)
	if err != nil && err.Error() != "" {
		fmt.Fprintln(os.Stderr, "gentianrail:", err)
	}
	os.Exit(tool.ExitCode(err))
}
