package ggsnode

import (
	"context"
	"io"
	"os"
	"time"

	"go.uber.org/fx"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakelink"
)

// PartitionVariable is the environment variable with the file that holds the mode in which an edge
// is partitioned from all endpoints.
const PartitionVariable = "GGSNODE_TEST_PARTITION"

// partitionPollInterval is the interval at which an edge reads its mode.
const partitionPollInterval = 20 * time.Millisecond

// PartitionModes are the modes by the texts in the file.
func PartitionModes() map[string]ggsfakelink.PartitionMode {
	return map[string]ggsfakelink.PartitionMode{
		"none": ggsfakelink.PartitionNone, "hang": ggsfakelink.PartitionHang,
		"reset": ggsfakelink.PartitionReset, "refuse": ggsfakelink.PartitionRefuse,
	}
}

// RunPartitionableEdge is RunEdge for an edge that tests partition from all endpoints.
func RunPartitionableEdge(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return runEdgeProgram(ctx, args, stdout, stderr, fx.Decorate(func(d ggscore.Dialer) ggscore.Dialer {
		p := ggsfakelink.NewPartition(d)
		if file := os.Getenv(PartitionVariable); file != "" {
			go followMode(ctx, p, file)
		}
		return p
	}))
}

// followMode sets the partition's mode to that in the file whenever it changes.
func followMode(ctx context.Context, p *ggsfakelink.Partition, file string) {
	t := time.NewTicker(partitionPollInterval)
	defer t.Stop()
	before := ggsfakelink.PartitionNone
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		b, err := os.ReadFile(file)
		if err != nil {
			continue // the file is being replaced
		}
		if m, ok := PartitionModes()[string(b)]; ok && m != before {
			p.SetMode(m)
			before = m
		}
	}
}
