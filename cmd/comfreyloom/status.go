package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/comfreyloom/comfreyloom/internal/operator"
)

type statusCommand struct {
	remote
	JSON bool `arg:"--json" help:"print JSON instead of tables"`
}

func (k *statusCommand) run(c console) exitCode {
	if k.JSON {
		return k.printJSON(c)
	}
	var status operator.Status
	if code := k.get(c, "status", "/status", 0, &status); code != exitDone {
		return code
	}
	if err := operator.WriteText(c.out, status); err != nil {
		fmt.Fprintln(c.err, "comfreyloom status:", err)
		return exitFailed
	}
	return exitDone
}

func (k *statusCommand) printJSON(c console) exitCode {
	response, err := k.do(context.Background(), http.MethodGet, "/status", nil, 0)
	if err != nil {
		return reportReadError(c, "status", err)
	}
	if response.status != http.StatusOK {
		return reportFailure(c, "status", response)
	}
	fmt.Fprintf(c.out, "%s\n", response.body)
	return exitDone
}
